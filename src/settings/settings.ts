import { Either, Left, Right } from 'purify-ts'
import yargs from 'yargs'
import { z } from 'zod'
import { packageVersion } from './packageVersion.js'

/** One setting, given by the flag `--some-name` or the environment variable `RAGWORTSPUR_SOME_NAME`. */
export interface SettingSpec<T> {
  readonly describe: string
  /** Parses the text of the flag or variable. */
  readonly schema: z.ZodType<T>
  /** Text used when neither the flag nor the variable is given; without a default the setting is required. */
  readonly default?: string
  /** Allowed values, for error messages and help. */
  readonly allowed: string
  /** Boolean flag without a value; its text is `true` when given. */
  readonly isSwitch?: boolean
}

export type SettingSpecs = Readonly<Record<string, SettingSpec<unknown>>>

export type SettingsOf<S extends SettingSpecs> = {
  readonly [K in keyof S]: S[K] extends SettingSpec<infer T> ? T : never
}

export interface ProgramSpec<S extends SettingSpecs> {
  readonly program: string
  readonly describe: string
  readonly specs: S
  /** Name and description of positional arguments, if the program accepts any. */
  readonly operands?: { readonly name: string, readonly describe: string }
}

export interface ProgramInput<S extends SettingSpecs> {
  readonly settings: SettingsOf<S>
  readonly operands: readonly string[]
}

/** An invalid, unknown or missing setting. */
export interface SettingFault {
  readonly flag: string
  readonly value: string
  readonly allowed: string
}

/**
 * Creates the setting of a boolean flag without a value, which is false unless given.
 *
 * @example
 * const specs = { json: switchSetting('Print JSON') }
 */
export function switchSetting (describe: string): SettingSpec<boolean> {
  return {
    describe,
    schema: z.enum(['true', 'false']).transform(text => text === 'true') as unknown as z.ZodType<boolean>,
    default: 'false',
    allowed: 'true or false',
    isSwitch: true
  }
}

/** Exit code of a program that was started with invalid settings. */
export const EXIT_WRONG_SETTINGS = 2

const ENV_PREFIX = 'RAGWORTSPUR_'
const COMMON_VARIABLES = new Set(['RAGWORTSPUR_LOG_LEVEL'])

function flagOf (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

function variableOf (name: string): string {
  return ENV_PREFIX + flagOf(name).replaceAll('-', '_').toUpperCase()
}

function lastValueText (given: unknown): string | undefined {
  if (given === undefined) return undefined
  return Array.isArray(given) ? String(given.at(-1)) : String(given)
}

/**
 * Reads settings from flags and environment variables; flags take precedence.
 *
 * @example
 * const specs = { port: { describe: 'Call port', schema: z.coerce.number(), default: '8080', allowed: '1..65535' } }
 * readSettings({ program: 'demo', describe: 'Demo', specs }, ['--port', '9000'], {})
 *
 * Errors: one fault for each unknown, missing or invalid setting.
 */
export function readSettings<S extends SettingSpecs> (
  spec: ProgramSpec<S>, argv: readonly string[], env: Readonly<Record<string, string | undefined>>
): Either<SettingFault[], ProgramInput<S>> {
  const booleanFlags = Object.entries(spec.specs).filter(([, one]) => one.isSwitch === true)
    .map(([name]) => flagOf(name))
  const textFlags = Object.keys(spec.specs).map(flagOf).filter(flag => !booleanFlags.includes(flag))
  const parsed = yargs([...argv]).help(false).version(false)
    .parserConfiguration({ 'camel-case-expansion': false, 'parse-numbers': false, 'boolean-negation': false })
    .string(textFlags).string('_').boolean(booleanFlags).parseSync() as Record<string, unknown>
  const operands = (parsed['_'] as unknown[]).map(String)
  const faults = unknownSettings(spec, parsed, env)
  if (spec.operands === undefined) {
    faults.push(...operands.map(value => ({ flag: 'argument', value, allowed: 'no arguments, only flags' })))
  }
  const settings: Record<string, unknown> = {}
  for (const [name, one] of Object.entries(spec.specs)) {
    const text = lastValueText(parsed[flagOf(name)]) ?? env[variableOf(name)] ?? one.default
    const parsedValue = text === undefined ? undefined : one.schema.safeParse(text)
    if (parsedValue?.success === true) settings[name] = parsedValue.data
    else faults.push({ flag: `--${flagOf(name)}`, value: text ?? '(missing)', allowed: one.allowed })
  }
  return faults.length > 0 ? Left(faults) : Right({ settings: settings as SettingsOf<S>, operands })
}

function unknownSettings<S extends SettingSpecs> (
  spec: ProgramSpec<S>, parsed: Record<string, unknown>, env: Readonly<Record<string, string | undefined>>
): SettingFault[] {
  const flags = new Set(Object.keys(spec.specs).map(flagOf))
  const variables = new Set(Object.keys(spec.specs).map(variableOf))
  const allowed = `one of ${[...flags].map(flag => `--${flag}`).join(', ')}`
  const unknownFlags = Object.keys(parsed).filter(key => key !== '_' && key !== '$0' && !flags.has(key))
  const unknownVariables = Object.keys(env)
    .filter(key => key.startsWith(ENV_PREFIX) && !variables.has(key) && !COMMON_VARIABLES.has(key))
  return [
    ...unknownFlags.map(key => ({ flag: `--${key}`, value: lastValueText(parsed[key]) ?? '', allowed })),
    ...unknownVariables.map(key => ({ flag: key, value: env[key] ?? '', allowed: [...variables].join(', ') }))
  ]
}

/** Builds the help text of a program. */
export function helpText<S extends SettingSpecs> (spec: ProgramSpec<S>): string {
  const operand = spec.operands === undefined ? '' : ` ${spec.operands.name}`
  const lines = Object.entries(spec.specs).map(([name, one]) => {
    const fallback = one.default === undefined ? 'required' : `default ${one.default === '' ? '(empty)' : one.default}`
    return `  --${flagOf(name)}\n      ${one.describe} (${one.allowed}; ${fallback}; ${variableOf(name)})`
  })
  const operandLine = spec.operands === undefined ? [] : [`  ${spec.operands.name}\n      ${spec.operands.describe}`]
  return [
    `${spec.program}: ${spec.describe}`, '', `Usage: ${spec.program} [flags]${operand}`, '',
    ...operandLine, ...lines,
    '  --help\n      Print this text', '  --version\n      Print the version'
  ].join('\n')
}

/**
 * Reads the settings of a program at its start. Handles `--help` and `--version`.
 * Invalid settings end the process with exit code 2 and one line on standard
 * error for each fault, with the flag, the value and the allowed values.
 */
export function settingsOrExit<S extends SettingSpecs> (spec: ProgramSpec<S>): ProgramInput<S> {
  const argv = process.argv.slice(2)
  if (argv.includes('--help')) {
    process.stdout.write(`${helpText(spec)}\n`)
    process.exit(0)
  }
  if (argv.includes('--version')) {
    process.stdout.write(`${packageVersion()}\n`)
    process.exit(0)
  }
  return readSettings(spec, argv, process.env).caseOf({
    Right: input => input,
    Left: faults => {
      for (const { flag, value, allowed } of faults) {
        process.stderr.write(`${spec.program}: ${flag} has the value "${value}"; allowed: ${allowed}\n`)
      }
      process.exit(EXIT_WRONG_SETTINGS)
    }
  })
}
