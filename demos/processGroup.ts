import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const STOP_LIMIT_MS = 3000
const FAULT_TEXT_LENGTH = 2000

/** A child process whose output goes to a file. */
export interface LoggedProcess {
  readonly name: string
  readonly child: ChildProcess
  readonly logPath: string
}

const openGroups = new Set<ProcessGroup>()

function killAll (): void {
  for (const group of openGroups) group.killNow()
}

process.on('exit', killAll)
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.on(signal, () => { process.exit(1) })
}

/**
 * Child processes of this project that end with their parent, whichever way it
 * exits. Their output goes to files in a directory that is removed at the end.
 *
 * @example
 * const group = new ProcessGroup()
 * group.start('node-1', '../src/cli/nodeMain.js', ['--service', 'invoicing'])
 * await group.stop()
 */
export class ProcessGroup {
  readonly directory = mkdtempSync(join(tmpdir(), 'ragwortspur-'))
  readonly #processes: LoggedProcess[] = []
  readonly #endedEarly: LoggedProcess[] = []
  #stopping = false

  constructor () {
    openGroups.add(this)
  }

  get processes (): readonly LoggedProcess[] {
    return this.#processes
  }

  /** Starts a program; `program` is relative to this file as built. */
  start (name: string, program: string, flags: readonly string[]): LoggedProcess {
    const logPath = join(this.directory, `${name}.log`)
    const file = openSync(logPath, 'w')
    const path = fileURLToPath(new URL(program, import.meta.url))
    const child = spawn(process.execPath, [path, ...flags], { stdio: ['ignore', file, file] })
    closeSync(file)
    const entry = { name, child, logPath }
    this.#processes.push(entry)
    child.on('exit', () => { if (!this.#stopping) this.#endedEarly.push(entry) })
    return entry
  }

  /** Throws an Error with the last output of a process that ended without being asked to. */
  checkRunning (): void {
    const [first] = this.#endedEarly
    if (first === undefined) return
    const { exitCode, signalCode } = first.child
    const tail = readFileSync(first.logPath, 'utf8').slice(-FAULT_TEXT_LENGTH)
    throw new Error(`${this.#endedEarly.length} processes ended early, ` +
      `the first one ${first.name} (code ${exitCode}, signal ${signalCode}): ${tail}`)
  }

  /** Asks all processes to stop, waits for them, and ends those that do not stop in time. */
  async stop (): Promise<void> {
    this.#stopping = true
    const running = this.#processes.filter(({ child }) => child.exitCode === null && child.signalCode === null)
    const ended = Promise.all(running.map(async ({ child }) => { await new Promise(resolve => child.once('exit', resolve)) }))
    for (const { child } of running) child.kill('SIGTERM')
    await Promise.race([ended, new Promise(resolve => { setTimeout(resolve, STOP_LIMIT_MS).unref() })])
    this.killNow()
  }

  /** Ends all processes at once and removes the directory. */
  killNow (): void {
    this.#stopping = true
    for (const { child } of this.#processes) child.kill('SIGKILL')
    rmSync(this.directory, { recursive: true, force: true })
    openGroups.delete(this)
  }
}
