/*
Bundles the entry gateway for the users' platform into target/.

esbuild reads the TypeScript itself; types are checked by the ordinary build.
*/
import path from 'node:path';
import {build} from 'esbuild';
import {bundleOptions} from './bundle-options.js';

/* Resolves the package by its exact name only, so that the replacement can load the package's own files. */
const undiciCore = {
	name: 'undici-core',
	setup({onResolve}) {
		onResolve({filter: /^undici$/}, () => ({path: path.resolve('scripts/undici-core.cjs')}));
	},
};

await build({
	entryPoints: ['source/binaries/cowsliprudder-entry.ts'],
	...bundleOptions,
	plugins: [undiciCore],
	outfile: 'target/cowsliprudder-entry.mjs',
});
