import { createSocket, type RemoteInfo, type Socket as UdpSocket } from 'node:dgram'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { z } from 'zod'
import { assertNever } from '../errors/errors.js'
import type { Address } from './httpTools.js'

export enum RelayMode {
  Pass = 'pass',
  /** Connections are reset, and new ones too. */
  Cut = 'cut',
  /** Bytes are held back until the mode changes. */
  Stall = 'stall',
  /** Bytes are passed on after `delay_ms`. */
  Delay = 'delay',
  /** Bytes are dropped while the connection stays open. */
  Silence = 'silence'
}

export enum RelayScope {
  /** Only connections that are open now. */
  Existing = 'existing',
  /** Open connections and new ones. */
  All = 'all'
}

export const relayControlSchema = z.strictObject({
  mode: z.enum(RelayMode),
  scope: z.enum(RelayScope).default(RelayScope.All),
  delay_ms: z.number().min(0).default(0)
})

export type RelayControl = z.infer<typeof relayControlSchema>

const PASS: RelayControl = { mode: RelayMode.Pass, scope: RelayScope.All, delay_ms: 0 }

/** Holds, delays or drops the items of one direction. */
class Flow {
  readonly #forward: (data: Buffer) => void
  #held: Buffer[] = []
  #control: RelayControl = PASS

  constructor (forward: (data: Buffer) => void) {
    this.#forward = forward
  }

  apply (control: RelayControl): void {
    this.#control = control
    if (control.mode === RelayMode.Stall) return
    const held = this.#held
    this.#held = []
    for (const data of held) this.push(data)
  }

  push (data: Buffer): void {
    const { mode, delay_ms: delayMs } = this.#control
    switch (mode) {
      case RelayMode.Pass:
        this.#forward(data)
        break
      case RelayMode.Stall:
        this.#held.push(data)
        break
      case RelayMode.Delay:
        setTimeout(() => { this.#forward(data) }, delayMs)
        break
      case RelayMode.Cut:
      case RelayMode.Silence:
        break
      default: assertNever(mode)
    }
  }
}

interface Link {
  apply (control: RelayControl): void
}

class TcpLink implements Link {
  readonly #near: Socket
  readonly #far: Socket
  readonly #flows: readonly Flow[]

  constructor (near: Socket, target: Address, onClose: () => void) {
    this.#near = near
    this.#far = connect({ ...target, noDelay: true })
    near.setNoDelay(true)
    this.#flows = [this.#join(near, this.#far), this.#join(this.#far, near)]
    near.on('close', onClose)
  }

  apply (control: RelayControl): void {
    if (control.mode === RelayMode.Cut) this.#near.resetAndDestroy()
    for (const flow of this.#flows) flow.apply(control)
  }

  #join (from: Socket, to: Socket): Flow {
    const flow = new Flow(data => { if (to.writable) to.write(data) })
    from.on('data', data => { flow.push(data) })
    from.on('end', () => { to.end() })
    from.on('close', () => { to.destroy() })
    from.on('error', () => { to.destroy() })
    return flow
  }
}

class UdpLink implements Link {
  readonly #upstream = createSocket('udp4')
  readonly #toTarget: Flow
  readonly #toClient: Flow

  constructor (target: Address, reply: (data: Buffer) => void) {
    this.#toTarget = new Flow(data => { this.#upstream.send(data, target.port, target.host) })
    this.#toClient = new Flow(reply)
    this.#upstream.on('message', data => { this.#toClient.push(data) })
    this.#upstream.on('error', () => {})
  }

  push (data: Buffer): void {
    this.#toTarget.push(data)
  }

  apply (control: RelayControl): void {
    this.#toTarget.apply(control)
    this.#toClient.apply(control)
  }

  close (): void {
    this.#upstream.close()
  }
}

/** Relay for TCP connections and UDP datagrams to one target, with faults on demand. */
export class Relay {
  readonly server: Server
  readonly udp: UdpSocket
  readonly #target: Address
  readonly #tcpLinks = new Set<TcpLink>()
  readonly #udpLinks = new Map<string, UdpLink>()
  #control: RelayControl = PASS

  constructor (target: Address) {
    this.#target = target
    this.server = createServer(socket => { this.#open(socket) })
    this.udp = createSocket('udp4')
    this.udp.on('message', (data, sender) => { this.#udpLinkOf(sender).push(data) })
  }

  get linksCount (): number {
    return this.#tcpLinks.size + this.#udpLinks.size
  }

  /** Applies a test control. Throws a ZodError for one of the wrong form. */
  applyControl (given: unknown): void {
    const control = relayControlSchema.parse(given)
    for (const link of [...this.#tcpLinks, ...this.#udpLinks.values()]) link.apply(control)
    this.#control = control.scope === RelayScope.All ? control : PASS
  }

  close (): void {
    this.server.close()
    this.udp.close()
    for (const link of [...this.#tcpLinks]) link.apply({ ...PASS, mode: RelayMode.Cut })
    for (const link of this.#udpLinks.values()) link.close()
  }

  #open (socket: Socket): void {
    if (this.#control.mode === RelayMode.Cut) {
      socket.resetAndDestroy()
      return
    }
    const link: TcpLink = new TcpLink(socket, this.#target, () => { this.#tcpLinks.delete(link) })
    link.apply(this.#control)
    this.#tcpLinks.add(link)
  }

  #udpLinkOf (sender: RemoteInfo): UdpLink {
    const name = `${sender.address}:${sender.port}`
    let link = this.#udpLinks.get(name)
    if (link === undefined) {
      link = new UdpLink(this.#target, data => { this.udp.send(data, sender.port, sender.address) })
      link.apply(this.#control)
      this.#udpLinks.set(name, link)
    }
    return link
  }
}
