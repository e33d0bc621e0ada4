import { backendConfigOf, loadStreamsOf, readDocuments, scaleDocument } from './demoDocuments.js'
import { DEPLOYMENT_SPECS, SIZE_FACTOR } from './deploymentSpecs.js'

describe.each(Object.values(DEPLOYMENT_SPECS))('documents of $name', spec => {
  const documents = readDocuments(spec)

  test('the promises of each document stay within the capacity, which the slots can carry', () => {
    for (const document of documents.values()) {
      const promised = [...document.callers, document.default_caller]
        .reduce((sum, terms) => sum + terms.promised_calls_per_s, 0)
      expect([document.service, promised <= document.capacity_calls_per_s]).toEqual([document.service, true])
      const weights = document.data_centres.reduce((sum, one) => sum + one.weight_ratio, 0)
      expect(weights).toBeCloseTo(1)
    }
  })

  test('the weight of a data centre is its part of the backend servers', () => {
    for (const service of spec.services) {
      for (const { name, weight_ratio: weight } of documents.get(service.service)?.data_centres ?? []) {
        const part = service.dataCentres.filter(one => one === name).length / service.dataCentres.length
        expect(Math.abs(weight - part)).toBeLessThan(0.01)
      }
    }
  })

  test('each service that makes sub-calls is a caller at its callees with enough promised', () => {
    const rates = new Map<string, number>()
    for (const stream of loadStreamsOf(spec, documents)) {
      const service = spec.services.find(one => one.service === stream.service)
      const route = documents.get(stream.service)?.routes.find(one => one.path_prefix === stream.path)
      for (const call of service?.routes[route?.name ?? '']?.subCalls ?? []) {
        const name = `${stream.service} ${call.service}`
        rates.set(name, (rates.get(name) ?? 0) + stream.rate_per_s)
      }
    }
    for (const [name, rate] of rates) {
      const [caller, callee = ''] = name.split(' ')
      const terms = documents.get(callee)?.callers.find(one => one.name === caller)
      expect(terms?.promised_calls_per_s).toBeGreaterThanOrEqual(rate)
    }
  })

  test('scaled documents keep whole sizes of at least one', () => {
    for (const service of spec.services) {
      const document = documents.get(service.service)
      if (document === undefined) throw new Error(service.service)
      const { backend } = scaleDocument(document, SIZE_FACTOR)
      expect(Number.isInteger(backend.slots_count) && backend.slots_count >= 1).toBe(true)
      expect(backendConfigOf(service, documents, 1).routes).toHaveLength(document.routes.length)
    }
  })
})
