/*
Bundles the entry gateway for the users' platform into target/.

esbuild reads the TypeScript itself; types are checked by the ordinary build.
*/
import {build} from 'esbuild';
import {bundleOptions} from './bundle-options.js';

await build({
	entryPoints: ['source/binaries/cowsliprudder-entry.ts'],
	...bundleOptions,
	outfile: 'target/cowsliprudder-entry.mjs',
});
