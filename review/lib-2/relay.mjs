// A relay in front of an address of one machine. It can cut machines off from each other, and silence connections for good.
import { connect, createServer } from 'node:net'

export class Relay {
  #server
  #pairs = new Set()

  /** `isCut(fromIp, toIp)` says whether nothing passes now between two machines, in both directions. */
  constructor ({ ip, targetIp, port, isCut }) {
    Object.assign(this, { ip, targetIp, port, isCut })
  }

  listen () {
    this.#server = createServer(socket => this.#accept(socket))
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.port, this.ip, resolve)
    })
  }

  #accept (near) {
    const far = connect({ host: this.targetIp, port: this.port, noDelay: true })
    const pair = { near, far, fromIp: null, isSilent: false, waiting: [] }
    this.#pairs.add(pair)
    near.setNoDelay(true)
    const forward = (from, to, side) => {
      from.on('data', chunk => {
        // A node names its address in the first message on a connection.
        if (side === 'near') pair.fromIp ??= /127\.\d+\.\d+\.\d+/.exec(chunk.toString('latin1'))?.[0] ?? 'unknown'
        this.#pass(pair, () => to.write(chunk))
      })
      // The end of a connection does not pass a cut either.
      from.on('error', () => {})
      from.on('close', () => this.#pass(pair, () => { to.destroy(); this.#pairs.delete(pair) }))
    }
    forward(near, far, 'near')
    forward(far, near, 'far')
  }

  #pass (pair, act) {
    if (pair.isSilent) return
    if (pair.fromIp !== null && this.isCut(pair.fromIp, this.ip)) pair.waiting.push(act)
    else act()
  }

  /** What was sent during a cut arrives after it, as TCP sends it again. */
  heal () {
    for (const pair of this.#pairs) for (const act of pair.waiting.splice(0)) act()
  }

  /** Nothing passes any more on the connections that are open now, not even their end. New ones work. */
  silence () {
    for (const pair of this.#pairs) pair.isSilent = true
  }

  /** Resets the open connections. */
  reset () {
    for (const { near, far } of this.#pairs) { near.resetAndDestroy(); far.resetAndDestroy() }
  }

  close () {
    this.#server.close()
    for (const { near, far } of this.#pairs) { near.destroy(); far.destroy() }
  }
}
