/* What all bundles have in common. */

/* Libraries in CommonJS form expect these three names. */
const banner = [
	'import {createRequire as createBundleRequire} from \'node:module\';',
	'import {dirname as bundleDirname} from \'node:path\';',
	'import {fileURLToPath as bundleFilePath} from \'node:url\';',
	'const require = createBundleRequire(import.meta.url);',
	'const __filename = bundleFilePath(import.meta.url);',
	'const __dirname = bundleDirname(__filename);',
].join('');

/* What a library means when it asks for assertions. */
const assertions = {assert: './scripts/assert.cjs', 'node:assert': './scripts/assert.cjs'};

export const bundleOptions = {
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	keepNames: true,
	banner: {js: banner},
	alias: assertions,
	logLevel: 'error',
};
