import config from './jest.config.js'

// Tests that measure whole processes. They run one at a time, since each fills the memory of its processes.
export default {
  ...config,
  testMatch: ['<rootDir>/platform/crowds/**/*.spec.ts'],
  testPathIgnorePatterns: ['/node_modules/', '<rootDir>/dist/'],
  globalSetup: '<rootDir>/platform/crowds/buildProgram.mjs',
  testTimeout: 120_000,
  maxWorkers: 1
}
