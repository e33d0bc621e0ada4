// A relay in front of an address of one machine. It can silence connections for good.
import { connect, createServer } from 'node:net'

export class Relay {
  #server
  #pairs = new Set()

  constructor ({ ip, targetIp, port }) {
    Object.assign(this, { ip, targetIp, port })
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
    const pair = { near, far, isSilent: false }
    this.#pairs.add(pair)
    near.setNoDelay(true)
    const forward = (from, to) => {
      from.on('data', chunk => { if (!pair.isSilent) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => {
        if (pair.isSilent) return
        to.destroy()
        this.#pairs.delete(pair)
      })
    }
    forward(near, far)
    forward(far, near)
  }

  /** Nothing passes any more on the connections that are open now, not even their end. New ones work. */
  silence () {
    for (const pair of this.#pairs) pair.isSilent = true
  }

  close () {
    this.#server.close()
    for (const { near, far } of this.#pairs) { near.destroy(); far.destroy() }
  }
}
