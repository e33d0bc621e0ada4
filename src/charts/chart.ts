import { readFileSync } from 'node:fs'
import { createMachine, transition } from 'xstate'

/** A flat state chart with a precomputed transition table. */
export interface StateChart {
  readonly id: string
  readonly initial: string
  /** Returns the state after an event, or undefined if the state does not allow the event. */
  next (state: string, event: string): string | undefined
}

interface ChartFile {
  readonly id: string
  readonly initial: string
  readonly states: Readonly<Record<string, { readonly on?: Readonly<Record<string, string>> }>>
}

/**
 * Loads a state chart from a JSON file in this folder.
 *
 * The transition table is computed once with xstate. Its interpreter takes tens of
 * microseconds for each transition, which would use up the time budget of a call.
 *
 * @example
 * loadStateChart('call').next('received', 'QUEUE') // 'queued'
 */
export function loadStateChart (name: string): StateChart {
  const file = JSON.parse(readFileSync(new URL(`./${name}.json`, import.meta.url), 'utf8')) as ChartFile
  const table = buildTransitionTable(file)
  return {
    id: file.id,
    initial: file.initial,
    next: (state, event) => table.get(state)?.get(event)
  }
}

function buildTransitionTable (file: ChartFile): Map<string, Map<string, string>> {
  const machine = createMachine(file as Parameters<typeof createMachine>[0])
  const table = new Map<string, Map<string, string>>()
  for (const [state, { on }] of Object.entries(file.states)) {
    const transitions = new Map<string, string>()
    for (const event of Object.keys(on ?? {})) {
      const [nextState] = transition(machine, machine.resolveState({ value: state }), { type: event })
      transitions.set(event, String(nextState.value))
    }
    table.set(state, transitions)
  }
  return table
}
