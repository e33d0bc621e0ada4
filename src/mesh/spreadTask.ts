import type { ListedServer } from '../core/discovery/discoveryTypes.js'
import { spreadDefinition } from '../core/spread/spreadDefinition.js'
import type { SpreadId, SpreadMember, SpreadTarget } from '../core/spread/spreadTypes.js'
import type { SpreadCopy } from './frames.js'
import type { PeerMesh } from './peerMesh.js'
import type { PeerServer } from './peerServer.js'

export interface SpreadTaskOptions {
  readonly own: SpreadMember
  /** Identifies this process as the origin of its notices. */
  readonly incarnation: string
  readonly peerMesh: () => PeerMesh
  readonly peerServer: () => PeerServer
  readonly onNotice: (text: string, fromIp: string, hopsCount: number) => void
}

/** Brings notices to all nodes along the trees of the spread module, and keeps the connections that these need. */
export class SpreadTask {
  readonly #options: SpreadTaskOptions
  readonly #db

  constructor (options: SpreadTaskOptions) {
    this.#options = options
    this.#db = spreadDefinition.createDb(options.own)
  }

  /** Sends a notice to all nodes. */
  publish (text: string): void {
    const id = spreadDefinition.nextId(this.#db, this.#options.incarnation)
    this.#sendCopies(spreadDefinition.publishTargets(this.#db, ip => this.#isUsable(ip)), id, 0, text)
    this.#sendToUnlisted(text)
  }

  /** Handles a notice on its way to all nodes, and forwards it. */
  receive (copy: SpreadCopy, fromIp: string): void {
    const { tree, text } = copy
    const hopsCount = copy.hopsCount + 1
    const receipt = spreadDefinition.recordReceipt(this.#db, copy, tree)
    if (receipt.isFirstOnTree) {
      const targets = spreadDefinition.forwardTargets(this.#db, tree, ip => this.#isUsable(ip))
      this.#sendCopies(targets, copy, hopsCount, text)
    }
    if (!receipt.isFirstCopy) return
    this.#sendToUnlisted(text)
    this.#options.onNotice(text, fromIp, hopsCount)
  }

  /** Rebuilds the trees from the server list, and keeps the connections to the neighbours in them. */
  syncMembers (servers: Iterable<ListedServer>): void {
    const members = [...servers]
    spreadDefinition.setMembers(this.#db, members)
    this.#options.peerMesh().syncLinks(
      new Set(members.map(({ ip }) => ip)), spreadDefinition.permanentNeighbours(this.#db)
    )
  }

  #isUsable (ip: string): boolean {
    return this.#options.peerMesh().isUsable(ip)
  }

  #sendCopies (targets: readonly SpreadTarget[], { origin, number }: SpreadId, hopsCount: number, text: string): void {
    for (const { ip, tree } of targets) {
      this.#options.peerMesh().sendSpreadCopy(ip, { tree, origin, number, hopsCount, text })
    }
  }

  /**
   * Nodes without a listed backend server have no place in the trees. They connect to some of the others once they
   * know; until then, they are told by the nodes whose neighbours they were.
   */
  #sendToUnlisted (text: string): void {
    this.#options.peerMesh().sendToUnlisted(text)
    this.#options.peerServer().sendToUnreached(text, ip => spreadDefinition.isMember(this.#db, ip))
  }
}
