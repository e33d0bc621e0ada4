import { backendConfigOf, loadStreamsOf, readDocuments, scaleDocument } from './demoDocuments.js'
import { DEPLOYMENT_SPECS, SIZE_FACTOR } from './deploymentSpecs.js'

describe.each(Object.values(DEPLOYMENT_SPECS))('documents of $name', spec => {
  const documents = readDocuments(spec)

  test('the sum of promised rates is within the capacity and the data centre weights add up to 1', () => {
    for (const document of documents.values()) {
      const promised = [...document.callers, document.default_caller]
        .reduce((sum, callerEntry) => sum + callerEntry.promised_calls_per_s, 0)
      expect([document.service, promised <= document.capacity_calls_per_s]).toEqual([document.service, true])
      const weights = document.data_centres.reduce((sum, dataCentre) => sum + dataCentre.weight_ratio, 0)
      expect(weights).toBeCloseTo(1)
    }
  })

  test('the weight of a data centre equals its share of the backend servers', () => {
    for (const service of spec.services) {
      for (const { name, weight_ratio: weight } of documents.get(service.service)?.data_centres ?? []) {
        const share = service.dataCentres.filter(dataCentre => dataCentre === name).length / service.dataCentres.length
        expect(Math.abs(weight - share)).toBeLessThan(0.01)
      }
    }
  })

  test('each callee promises a service that makes sub-calls at least the rate of its sub-calls', () => {
    const rates = new Map<string, number>()
    for (const stream of loadStreamsOf(spec, documents)) {
      const service = spec.services.find(candidate => candidate.service === stream.service)
      const route = documents.get(stream.service)?.routes.find(candidate => candidate.path_prefix === stream.path)
      for (const call of service?.routes[route?.name ?? '']?.subCalls ?? []) {
        const edge = `${stream.service} ${call.service}`
        rates.set(edge, (rates.get(edge) ?? 0) + stream.rate_per_s)
      }
    }
    for (const [edge, rate] of rates) {
      const [caller, callee = ''] = edge.split(' ')
      const callerEntry = documents.get(callee)?.callers.find(entry => entry.name === caller)
      expect(callerEntry?.promised_calls_per_s).toBeGreaterThanOrEqual(rate)
    }
  })

  test('scaled documents have an integer number of slots, at least 1, and keep all routes', () => {
    for (const service of spec.services) {
      const document = documents.get(service.service)
      if (document === undefined) throw new Error(service.service)
      const { backend } = scaleDocument(document, SIZE_FACTOR)
      expect(Number.isInteger(backend.slots_count) && backend.slots_count >= 1).toBe(true)
      expect(backendConfigOf(service, documents, 1).routes).toHaveLength(document.routes.length)
    }
  })
})
