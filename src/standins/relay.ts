import { createSocket, type RemoteInfo, type Socket as UdpSocket } from 'node:dgram'
import { connect, createServer, type Server, type Socket } from 'node:net'
import { z } from 'zod'
import { assertNever } from '../errors/errors.js'
import type { Address } from './httpTools.js'

export enum RelayMode {
  Pass = 'pass',
  /** TCP connections are reset, and UDP datagrams are dropped. */
  Cut = 'cut',
  /** Data is buffered until the mode changes. */
  Stall = 'stall',
  /** Data is forwarded after `delay_ms`. */
  Delay = 'delay',
  /** Data is dropped while the connection stays open. */
  Silence = 'silence'
}

export enum RelayScope {
  /** Only connections that are open when the control is applied. */
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

const PASS_CONTROL: RelayControl = { mode: RelayMode.Pass, scope: RelayScope.All, delay_ms: 0 }

/** One direction of a link: forwards, buffers, delays or drops data according to the mode. */
class Flow {
  readonly #forward: (data: Buffer) => void
  #heldData: Buffer[] = []
  #control: RelayControl = PASS_CONTROL

  constructor (forward: (data: Buffer) => void) {
    this.#forward = forward
  }

  apply (control: RelayControl): void {
    this.#control = control
    if (control.mode === RelayMode.Stall) return
    const held = this.#heldData
    this.#heldData = []
    for (const data of held) this.push(data)
  }

  push (data: Buffer): void {
    const { mode, delay_ms: delayMs } = this.#control
    switch (mode) {
      case RelayMode.Pass:
        this.#forward(data)
        break
      case RelayMode.Stall:
        this.#heldData.push(data)
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

interface RelayLink {
  apply (control: RelayControl): void
}

class TcpLink implements RelayLink {
  readonly #client: Socket
  readonly #upstream: Socket
  readonly #flows: readonly Flow[]

  constructor (client: Socket, target: Address, onClose: () => void) {
    this.#client = client
    this.#upstream = connect({ ...target, noDelay: true })
    client.setNoDelay(true)
    this.#flows = [this.#forwardData(client, this.#upstream), this.#forwardData(this.#upstream, client)]
    client.on('close', onClose)
  }

  apply (control: RelayControl): void {
    if (control.mode === RelayMode.Cut) this.#client.resetAndDestroy()
    for (const flow of this.#flows) flow.apply(control)
  }

  #forwardData (from: Socket, to: Socket): Flow {
    const flow = new Flow(data => { if (to.writable) to.write(data) })
    from.on('data', data => { flow.push(data) })
    from.on('end', () => { to.end() })
    from.on('close', () => { to.destroy() })
    from.on('error', () => { to.destroy() })
    return flow
  }
}

class UdpLink implements RelayLink {
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

/** Relay for TCP connections and UDP datagrams to one target, with fault injection. */
export class Relay {
  readonly server: Server
  readonly udpSocket: UdpSocket
  readonly #target: Address
  readonly #tcpLinks = new Set<TcpLink>()
  readonly #udpLinks = new Map<string, UdpLink>()
  #control: RelayControl = PASS_CONTROL

  constructor (target: Address) {
    this.#target = target
    this.server = createServer(socket => { this.#acceptConnection(socket) })
    this.udpSocket = createSocket('udp4')
    this.udpSocket.on('message', (data, sender) => { this.#getOrCreateUdpLink(sender).push(data) })
  }

  get linksCount (): number {
    return this.#tcpLinks.size + this.#udpLinks.size
  }

  /** Applies a test control. Throws a ZodError if the input does not match the schema. */
  applyControl (input: unknown): void {
    const control = relayControlSchema.parse(input)
    for (const link of [...this.#tcpLinks, ...this.#udpLinks.values()]) link.apply(control)
    this.#control = control.scope === RelayScope.All ? control : PASS_CONTROL
  }

  close (): void {
    this.server.close()
    this.udpSocket.close()
    for (const link of [...this.#tcpLinks]) link.apply({ ...PASS_CONTROL, mode: RelayMode.Cut })
    for (const link of this.#udpLinks.values()) link.close()
  }

  #acceptConnection (socket: Socket): void {
    if (this.#control.mode === RelayMode.Cut) {
      socket.resetAndDestroy()
      return
    }
    const link: TcpLink = new TcpLink(socket, this.#target, () => { this.#tcpLinks.delete(link) })
    link.apply(this.#control)
    this.#tcpLinks.add(link)
  }

  #getOrCreateUdpLink (sender: RemoteInfo): UdpLink {
    const senderKey = `${sender.address}:${sender.port}`
    let link = this.#udpLinks.get(senderKey)
    if (link === undefined) {
      link = new UdpLink(this.#target, data => { this.udpSocket.send(data, sender.port, sender.address) })
      link.apply(this.#control)
      this.#udpLinks.set(senderKey, link)
    }
    return link
  }
}
