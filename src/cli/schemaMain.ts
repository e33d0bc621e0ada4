#!/usr/bin/env node
import { writeFileSync } from 'node:fs'
import { schemaPage } from '../core/documents/documentsSchemaPage.js'

writeFileSync('docs/documentSchema.md', schemaPage())
