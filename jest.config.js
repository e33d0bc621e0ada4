export default {
  testEnvironment: 'node',
  roots: ['<rootDir>/src', '<rootDir>/bench', '<rootDir>/demos'],
  testMatch: ['**/*.spec.ts'],
  extensionsToTreatAsEsm: ['.ts'],
  moduleNameMapper: { '^(\\.{1,2}/.*)\\.js$': '$1' },
  transform: {
    '^.+\\.ts$': ['@swc/jest', {
      jsc: { parser: { syntax: 'typescript' }, target: 'es2022' },
      module: { type: 'es6' }
    }]
  },
  maxWorkers: 4
}
