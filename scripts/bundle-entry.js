/*
Bundles the entry gateway for the users' platform into target/.

esbuild reads the TypeScript itself; types are checked by the ordinary build.
*/
import {build} from 'esbuild';

await build({
	entryPoints: ['source/binaries/cowsliprudder-entry.ts'],
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	keepNames: true,
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\';const require = createBundleRequire(import.meta.url);'},
	logLevel: 'error',
	outfile: 'target/cowsliprudder-entry.mjs',
});
