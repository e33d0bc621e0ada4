import { createSocket, type RemoteInfo, type Socket } from 'node:dgram'
import { once } from 'node:events'
import {
  createJSONRPCRequest, isJSONRPCRequest, isJSONRPCResponse, JSONRPCClient, JSONRPCServer, type JSONRPCRequest
} from 'json-rpc-2.0'
import { Either, Left } from 'purify-ts'
import type { Millis } from '../clock/clock.js'
import type { LeaseRequest, LeaseVote } from '../core/idempotency/idempotencyTypes.js'
import { Step, StepError } from '../errors/errors.js'
import { DATAGRAM_HEADER_BYTES, type ControlBytes } from './controlBytes.js'
import { parseAddress } from './nodeSettings.js'
import { encodeLeaseRequest, readLeaseRequest, readVote, encodeVote } from './leaseMessages.js'
import { DATAGRAM_MAX_BYTES, encodeMessage, MESSAGE_METHODS, readMessage, type PeerMessage } from './peerMessages.js'

export interface PeerLinkOptions {
  readonly host: string
  /** UDP port; 0 selects a free one. */
  readonly port: number
  /** Distinguishes this process's requests from those of an earlier process on the same port. */
  readonly incarnation: string
  readonly leaseTimeoutMs: Millis
  /** Messages accepted per second from one address. */
  readonly acceptedPerAddressPerS: number
  /** Messages accepted per second from all addresses together. */
  readonly acceptedPerS: number
  readonly nowMs: () => Millis
  readonly onMessage: (message: PeerMessage, fromAddress: string) => void
  readonly onLeaseRequest: (request: LeaseRequest, fromAddress: string) => LeaseVote
}

export const PEER_LINK_DEFAULTS = {
  leaseTimeoutMs: 1_000, acceptedPerAddressPerS: 200, acceptedPerS: 5_000
} as const

export interface PeerLinkCounters extends ControlBytes {
  /** Messages dropped because they were invalid or answered no open request. */
  malformedCount: number
  /** Messages dropped by a rate limit. */
  rateLimitedCount: number
  /** Datagrams that could not be sent. */
  sendFailuresCount: number
}

export interface PeerLink {
  /** Opens the socket and returns its port. */
  start (): Promise<number>
  stop (): Promise<void>
  send (toAddress: string, message: PeerMessage): void
  /** Sends a lease request to a voter. Errors: no answer in time, or an invalid one. */
  requestLease (toAddress: string, request: LeaseRequest): Promise<Either<StepError, LeaseVote>>
  counters (): Readonly<PeerLinkCounters>
}

function addressOf (from: RemoteInfo): string {
  return from.family === 'IPv6' ? `[${from.address}]:${from.port}` : `${from.address}:${from.port}`
}

/** Limits messages per address and second. The limit on the total also bounds the number of counted addresses. */
class MessageRateLimiter {
  readonly #countsByAddress = new Map<string, number>()
  readonly #options: PeerLinkOptions
  #second = Number.NaN
  #totalCount = 0

  constructor (options: PeerLinkOptions) {
    this.#options = options
  }

  tryAccept (address: string): boolean {
    const second = Math.floor(this.#options.nowMs() / 1000)
    if (second !== this.#second) {
      this.#second = second
      this.#totalCount = 0
      this.#countsByAddress.clear()
    }
    const count = this.#countsByAddress.get(address) ?? 0
    if (count >= this.#options.acceptedPerAddressPerS || this.#totalCount >= this.#options.acceptedPerS) return false
    this.#countsByAddress.set(address, count + 1)
    this.#totalCount += 1
    return true
  }
}

class UdpPeerLink implements PeerLink {
  readonly #options: PeerLinkOptions
  readonly #rateLimiter: MessageRateLimiter
  readonly #server = new JSONRPCServer<string>({ errorListener: () => { this.#counters.malformedCount += 1 } })
  readonly #client: JSONRPCClient<string>
  /** For each open request, the address from which its answer must come. */
  readonly #expectedResponders = new Map<string, string>()
  readonly #counters: PeerLinkCounters = {
    sentBytes: 0, receivedBytes: 0, malformedCount: 0, rateLimitedCount: 0, sendFailuresCount: 0
  }

  #socket: Socket | null = null
  #nextId = 0

  constructor (options: PeerLinkOptions) {
    this.#options = options
    this.#rateLimiter = new MessageRateLimiter(options)
    this.#client = new JSONRPCClient<string>(
      (payload, toAddress) => this.#sendDatagram(JSON.stringify(payload), toAddress)
    )
    for (const method of MESSAGE_METHODS) {
      this.#server.addMethod(method, (params, fromAddress) => readMessage(method, params).caseOf({
        Right: message => this.#options.onMessage(message, fromAddress),
        Left: () => { this.#counters.malformedCount += 1 }
      }))
    }
    this.#server.addMethod('lease_request', (params, fromAddress) => {
      const request = readLeaseRequest(params).unsafeCoerce()
      return encodeVote(this.#options.onLeaseRequest(request, fromAddress))
    })
  }

  async start (): Promise<number> {
    const socket = createSocket(this.#options.host.includes(':') ? 'udp6' : 'udp4')
    socket.on('message', (data, from) => { this.#onDatagram(data, from) })
    const listening = once(socket, 'listening')
    socket.bind(this.#options.port, this.#options.host)
    await listening
    // Once the socket is bound, an error concerns a single datagram, for example to an unreachable peer.
    socket.on('error', () => { this.#counters.sendFailuresCount += 1 })
    this.#socket = socket
    return socket.address().port
  }

  async stop (): Promise<void> {
    const socket = this.#socket
    if (socket === null) return
    this.#socket = null
    this.#client.rejectAllPendingRequests('the peer link was stopped')
    const closed = once(socket, 'close')
    socket.close()
    await closed
  }

  send (toAddress: string, message: PeerMessage): void {
    for (const text of encodeMessage(message)) this.#sendDatagram(text, toAddress)
  }

  async requestLease (toAddress: string, request: LeaseRequest): Promise<Either<StepError, LeaseVote>> {
    const id = `${this.#options.incarnation}-${this.#nextId++}`
    this.#expectedResponders.set(id, toAddress)
    const toError = (reason: string): StepError => new StepError(Step.PeerMessage, toAddress, reason)
    try {
      const response = await this.#client.timeout(this.#options.leaseTimeoutMs)
        .requestAdvanced(createJSONRPCRequest(id, 'lease_request', encodeLeaseRequest(request)), toAddress)
      if (response.error !== undefined) return Left(toError(response.error.message))
      return readVote(response.result).mapLeft(toError).ifLeft(() => { this.#counters.malformedCount += 1 })
    } catch (error) {
      return Left(toError(error instanceof Error ? error.message : String(error)))
    } finally {
      this.#expectedResponders.delete(id)
    }
  }

  counters (): Readonly<PeerLinkCounters> {
    return this.#counters
  }

  #sendDatagram (text: string, toAddress: string): void {
    const sizeBytes = Buffer.byteLength(text)
    if (this.#socket === null || sizeBytes > DATAGRAM_MAX_BYTES) {
      this.#counters.sendFailuresCount += 1
      return
    }
    try {
      const { host, port } = parseAddress(toAddress)
      this.#socket.send(text, port, host, error => {
        if (error !== null) this.#counters.sendFailuresCount += 1
      })
      this.#counters.sentBytes += sizeBytes + DATAGRAM_HEADER_BYTES
    } catch {
      this.#counters.sendFailuresCount += 1
    }
  }

  #onDatagram (data: Buffer, from: RemoteInfo): void {
    this.#counters.receivedBytes += data.length + DATAGRAM_HEADER_BYTES
    const fromAddress = addressOf(from)
    if (!this.#rateLimiter.tryAccept(fromAddress)) this.#counters.rateLimitedCount += 1
    else if (!this.#handlePayload(data, fromAddress)) this.#counters.malformedCount += 1
  }

  #handlePayload (data: Buffer, fromAddress: string): boolean {
    if (data.length > DATAGRAM_MAX_BYTES) return false
    let payload: unknown
    try {
      payload = JSON.parse(data.toString('utf8'))
    } catch {
      return false
    }
    if (typeof payload !== 'object' || payload === null) return false
    if (isJSONRPCResponse(payload)) {
      if (this.#expectedResponders.get(String(payload.id)) !== fromAddress) return false
      this.#client.receive(payload)
      return true
    }
    return isJSONRPCRequest(payload) && this.#handleRequest(payload, fromAddress)
  }

  /** Invalid messages get no answer, so that a forged source address cannot direct traffic to a third party. */
  #handleRequest (request: JSONRPCRequest, fromAddress: string): boolean {
    if (!this.#server.hasMethod(request.method)) return false
    const expectsAnswer = request.method === 'lease_request'
    if (expectsAnswer !== (request.id !== undefined)) return false
    if (expectsAnswer && (typeof request.id !== 'string' || request.id.length > 100)) return false
    if (expectsAnswer && readLeaseRequest(request.params).isLeft()) return false
    this.#server.receive(request, fromAddress).then(response => {
      if (response !== null) this.#sendDatagram(JSON.stringify(response), fromAddress)
    }, () => { this.#counters.malformedCount += 1 })
    return true
  }
}

/**
 * Creates the UDP link to the other nodes. It owns its socket.
 *
 * @example
 * const link = createPeerLink({ ...PEER_LINK_DEFAULTS, host, port, incarnation, nowMs, onMessage, onLeaseRequest })
 * await link.start()
 * link.send('10.0.0.7:7401', { kind: 'read', keys: ['catalogue'] })
 */
export function createPeerLink (options: PeerLinkOptions): PeerLink {
  return new UdpPeerLink(options)
}
