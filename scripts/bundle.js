/*
Bundles each binary into one file.

A process that loads some hundred modules keeps them all in memory; one file
with just what is used takes about 14 MiB less (docs/design/processes.md).
*/
import {chmodSync} from 'node:fs';
import {build} from 'esbuild';
import {bundleOptions} from './bundle-options.js';

const names = ['cowsliprudder', 'cowsliprudder-gateway', 'cowsliprudder-sidecar'];

await Promise.all(names.map(async name => {
	const outfile = `build/binaries/${name}.mjs`;
	await build({
		entryPoints: [`build/source/binaries/${name}.js`],
		...bundleOptions,
		outfile,
	});
	chmodSync(outfile, 0o755);
}));
