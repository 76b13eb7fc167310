/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['build/**', 'source/generated/**', 'platform/generated/**', 'target/**', 'journal/**', '.tap/**']},
	{
		rules: {
			// One export a file is a house rule; a module with one named export is the normal case.
			'import-x/prefer-default-export': 'off',
			// The house rule asks for array methods as control flow.
			'unicorn/no-array-reduce': 'off',
			// These two take fp-ts functions such as option.some and option.map for array methods.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// TypeScript checks it with types, and knows exhaustive switches.
			'array-callback-return': 'off',
		},
	},
	{
		// Clipanion's command line is declared with functions such as Command.Usage.
		files: ['source/command/*.ts'],
		rules: {'new-cap': 'off'},
	},
	{
		// A tap test is not awaited: the runner waits for it.
		files: ['test/**/*.test.ts'],
		rules: {'@typescript-eslint/no-floating-promises': 'off'},
	},
	{
		// The names of the etcd v3 JSON gateway are not ours to choose.
		files: ['source/ports/etcd-key-value-service.ts', 'stand-ins/key-value-stand-in.ts'],
		rules: {'@typescript-eslint/naming-convention': 'off'},
	},
];

export default config;
