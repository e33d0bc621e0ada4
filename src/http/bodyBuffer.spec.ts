import { BodyBuffer } from './bodyBuffer.js'

const KIB = 1024

describe('buffer for bodies', () => {
  test('pieces of all sizes are joined in their order', () => {
    const body = new BodyBuffer()
    const pieces = [1, 3, 20 * KIB, 5, 64 * KIB, 100, 16 * KIB, 2 * KIB]
      .map((bytes, at) => Buffer.alloc(bytes, at + 1))
    for (const piece of pieces) body.append(piece)
    expect(body.lengthBytes).toBe(Buffer.concat(pieces).length)
    expect(body.take().equals(Buffer.concat(pieces))).toBe(true)
    expect(body.lengthBytes).toBe(0)
  })

  // A body of many small chunks kept one object for each chunk, and with it all bytes that were read together.
  test('small pieces of large buffers take little more memory than their bytes', () => {
    const body = new BodyBuffer()
    const before = process.memoryUsage()
    for (let count = 0; count < 20_000; count++) body.append(Buffer.allocUnsafeSlow(16 * KIB).subarray(0, 10))
    const after = process.memoryUsage()
    expect(body.take().length).toBe(200_000)
    // The buffers that contained the pieces have 320 MB.
    expect(after.arrayBuffers - before.arrayBuffers).toBeLessThan(160 * KIB * KIB)
  })
})
