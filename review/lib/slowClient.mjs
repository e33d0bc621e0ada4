// A client that reads its answer slowly, as PROTOCOL.md allows, and sees how the connection ends.
import { connect } from 'node:net'
import { now } from './deployment.mjs'

const TICK_MS = 20

/** Sends a GET on a new connection and reads the answer at the given rate. Resolves when the connection has ended or the whole length was read. */
export function readSlowly (machine, { path, id, bytesPerS, timeLimitMs = 5_000 }) {
  return new Promise(resolve => {
    const result = { id, path, machine: machine.name, head: '', status: 0, length: null, bodyBytes: 0, end: '', sentAt: now(), endedAt: 0 }
    const socket = connect({ host: machine.ip, port: machine.deployment.ports.caller })
    let headBytes = Buffer.alloc(0)
    let allowedBytes = 0
    const timer = setInterval(() => {
      allowedBytes = Math.min(allowedBytes + bytesPerS * TICK_MS / 1000, bytesPerS / 10)
      if (allowedBytes > 0) socket.resume()
    }, TICK_MS)
    const finish = end => {
      if (result.end !== '') return
      Object.assign(result, { end, endedAt: now() })
      clearInterval(timer)
      socket.destroy()
      resolve(result)
    }
    socket.write(`GET ${path} HTTP/1.1\r\nHost: mesh.example\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: ${timeLimitMs}\r\n\r\n`)
    socket.on('data', chunk => {
      allowedBytes -= chunk.length
      if (allowedBytes <= 0) socket.pause()
      if (result.head === '') {
        headBytes = Buffer.concat([headBytes, chunk])
        const at = headBytes.indexOf('\r\n\r\n')
        if (at < 0) return
        result.head = headBytes.subarray(0, at).toString('latin1')
        result.status = Number(result.head.split(' ')[1])
        const length = /^content-length: (\d+)$/im.exec(result.head)
        result.length = length === null ? null : Number(length[1])
        result.bodyBytes = headBytes.length - at - 4
      } else result.bodyBytes += chunk.length
      if (result.length !== null && result.bodyBytes >= result.length) finish('the whole length was read')
    })
    socket.on('end', () => finish('closed by the node'))
    socket.on('error', error => finish(`broken: ${error.code}`))
  })
}
