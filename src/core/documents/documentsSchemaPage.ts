import { z } from 'zod'
import { catalogueSchema, documentSchema, vmListSchema } from './documentsSchema.js'
import { allowedText } from './publishedText.js'

interface Row {
  readonly path: string
  readonly allowed: string
  readonly fallback: string
  readonly description: string
}

function withoutDefault (schema: z.ZodType): z.ZodType {
  return schema instanceof z.ZodDefault ? schema.def.innerType as z.ZodType : schema
}

function rowsOf (schema: z.ZodType, path: string): Row[] {
  const inner = withoutDefault(schema)
  if (inner instanceof z.ZodObject) {
    return Object.entries(inner.shape as Record<string, z.ZodType>)
      .flatMap(([name, child]) => fieldRows(child, path === '' ? name : `${path}.${name}`))
  }
  return inner instanceof z.ZodArray ? rowsOf(inner.element as z.ZodType, `${path}[]`) : []
}

function fieldRows (schema: z.ZodType, path: string): Row[] {
  const inner = withoutDefault(schema)
  const description = schema.meta()?.description ?? inner.meta()?.description ?? ''
  const fallback = schema instanceof z.ZodDefault ? JSON.stringify(schema.def.defaultValue) : 'required'
  return [{ path, allowed: allowedText(schema), fallback, description }, ...rowsOf(schema, path)]
}

function fieldTable (schema: z.ZodType): string {
  const lines = rowsOf(schema, '').map(row => {
    const cells = [`\`${row.path}\``, row.allowed, row.fallback, row.description]
    return `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`
  })
  return ['| field | allowed | default | meaning |', '| --- | --- | --- | --- |', ...lines].join('\n')
}

/**
 * Text of the page `docs/documentSchema.md`, generated from the schemas that nodes validate with.
 *
 * @example
 * writeFileSync('docs/documentSchema.md', schemaPage())
 */
export function schemaPage (): string {
  return `# Published formats

This page is generated from \`src/core/documents/documentsSchema.ts\` by \`npm run schema\`; do not edit it.

## Document of a service

Published as \`documents/<service>\`, in YAML or JSON. An unknown or repeated field is a fault, and a document with a
fault is not put in force. Beyond the fields, a node refuses a document whose weights do not sum to 1, whose data
centres, routes, callers or callees repeat, or whose service calls itself.

\`ragwortspur-check FILE...\` checks documents before they are published. It also reports promises that sum to more
than \`capacity_calls_per_s\`, unknown callees, calls to a service without a promise there, cycles of the call graph, and
two documents of one service.

${fieldTable(documentSchema)}

## VM list

Published as \`vms/<data centre>\` in JSON. Unknown fields are ignored. Each \`data_centre\` is the one in the key, and
each \`vm_id\` appears once. A VM that is gone is left out.

${fieldTable(vmListSchema)}

## Catalogue

Published as \`catalogue\` in JSON. Unknown fields are ignored, and each name appears once.

${fieldTable(catalogueSchema)}
`
}
