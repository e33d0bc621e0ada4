import neostandard from 'neostandard'

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'coverage/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: false, skipComments: false }],
      '@stylistic/max-len': ['error', { code: 120, ignoreStrings: true, ignoreTemplateLiterals: true, ignoreUrls: true }],
      camelcase: 'off',
      // Marks a promise whose result is not awaited on purpose.
      'no-void': ['error', { allowAsStatement: true }]
    }
  }
]
