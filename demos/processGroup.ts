import { spawn, type ChildProcess } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const STOP_TIMEOUT_MS = 3000
const LOG_TAIL_MAX_LENGTH = 2000

/** A child process whose standard output and standard error go to a log file. */
export interface LoggedProcess {
  readonly name: string
  readonly child: ChildProcess
  readonly logPath: string
}

const openGroups = new Set<ProcessGroup>()

function killAllGroups (): void {
  for (const group of openGroups) group.killNow()
}

process.on('exit', killAllGroups)
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.on(signal, () => { process.exit(1) })
}

/**
 * Starts programs of this project as child processes and kills them when this
 * process exits, also after a signal that it handles. Their output goes to log
 * files in a temporary directory that is removed at the end.
 *
 * @example
 * const group = new ProcessGroup()
 * group.start('node-1', '../src/cli/nodeMain.js', ['--service', 'invoicing'])
 * await group.stop()
 */
export class ProcessGroup {
  readonly directory = mkdtempSync(join(tmpdir(), 'ragwortspur-'))
  readonly #processes: LoggedProcess[] = []
  readonly #exitedEarly: LoggedProcess[] = []
  #stopping = false

  constructor () {
    openGroups.add(this)
  }

  get processes (): readonly LoggedProcess[] {
    return this.#processes
  }

  /** Starts a program with Node.js; `program` is its path relative to this file in the built output. */
  start (name: string, program: string, flags: readonly string[]): LoggedProcess {
    const logPath = join(this.directory, `${name}.log`)
    const file = openSync(logPath, 'w')
    const path = fileURLToPath(new URL(program, import.meta.url))
    const child = spawn(process.execPath, [path, ...flags], { stdio: ['ignore', file, file] })
    closeSync(file)
    const entry = { name, child, logPath }
    this.#processes.push(entry)
    child.on('exit', () => { if (!this.#stopping) this.#exitedEarly.push(entry) })
    return entry
  }

  /** Throws an error with the end of the log of the first process that exited before the group was stopped. */
  checkRunning (): void {
    const [first] = this.#exitedEarly
    if (first === undefined) return
    const { exitCode, signalCode } = first.child
    const tail = readFileSync(first.logPath, 'utf8').slice(-LOG_TAIL_MAX_LENGTH)
    throw new Error(`${this.#exitedEarly.length} processes exited unexpectedly, ` +
      `the first one ${first.name} (code ${exitCode}, signal ${signalCode}): ${tail}`)
  }

  /** Sends SIGTERM to all processes, waits until they exit, and kills those that do not exit in time. */
  async stop (): Promise<void> {
    this.#stopping = true
    const running = this.#processes.filter(({ child }) => child.exitCode === null && child.signalCode === null)
    const ended = Promise.all(running.map(async ({ child }) => { await new Promise(resolve => child.once('exit', resolve)) }))
    for (const { child } of running) child.kill('SIGTERM')
    await Promise.race([ended, new Promise(resolve => { setTimeout(resolve, STOP_TIMEOUT_MS).unref() })])
    this.killNow()
  }

  /** Kills all processes immediately and removes the directory of log files. */
  killNow (): void {
    this.#stopping = true
    for (const { child } of this.#processes) child.kill('SIGKILL')
    rmSync(this.directory, { recursive: true, force: true })
    openGroups.delete(this)
  }
}
