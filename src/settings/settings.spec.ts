import { z } from 'zod'
import { helpText, readSettings, switchSetting } from './settings.js'

const program = {
  program: 'ragwortspur-test',
  describe: 'Settings under test',
  specs: {
    callPort: { describe: 'Port for calls', schema: z.coerce.number().int().min(1).max(65535), allowed: '1..65535' },
    dataCentre: { describe: 'Own data centre', schema: z.string().min(1), default: 'tartu', allowed: 'a name' }
  }
}

describe('settings', () => {
  test('a flag takes precedence over a variable, and defaults fill in missing settings', () => {
    const read = readSettings(program, ['--call-port', '9000'], { RAGWORTSPUR_CALL_PORT: '7000' })
    expect(read.extract()).toEqual({ settings: { callPort: 9000, dataCentre: 'tartu' }, operands: [] })
  })

  test.each([
    ['an invalid value', ['--call-port', 'x'], {}],
    ['a missing setting', [], {}],
    ['an unknown flag', ['--call-port', '1', '--prot', '2'], {}],
    ['an unknown variable', ['--call-port', '1'], { RAGWORTSPUR_PROT: '2' }],
    ['an unexpected argument', ['--call-port', '1', 'extra'], {}]
  ])('%s is refused with its flag, value and allowed values', (_name, argv, env) => {
    expect(readSettings(program, argv, env).swap().extract()).toMatchSnapshot()
  })

  test('a boolean flag takes no value, so that the argument after it stays positional', () => {
    const specs = { json: switchSetting('Print JSON') }
    const withSwitch = { ...program, specs, operands: { name: 'FILE...', describe: 'Files' } }
    const reads = [['--json', 'a.log', '-'], ['7'], ['--json=no']].map(argv => readSettings(withSwitch, argv, {}))
    expect(reads.map(read => read.extract())).toEqual([
      { settings: { json: true }, operands: ['a.log', '-'] },
      { settings: { json: false }, operands: ['7'] },
      { settings: { json: false }, operands: [] }
    ])
  })

  test('the help text lists flag, default and variable', () => {
    expect(helpText(program)).toMatchSnapshot()
  })
})
