/*
Bundles each binary into one file.

A process that loads some hundred modules keeps them all in memory; one file
with just what is used takes about 14 MiB less (docs/design/processes.md).
*/
import {chmodSync} from 'node:fs';
import {build} from 'esbuild';

const names = ['cowsliprudder', 'cowsliprudder-gateway', 'cowsliprudder-sidecar'];

/* Libraries in CommonJS form expect these three names. */
const banner = [
	'import {createRequire as createBundleRequire} from \'node:module\';',
	'import {dirname as bundleDirname} from \'node:path\';',
	'import {fileURLToPath as bundleFilePath} from \'node:url\';',
	'const require = createBundleRequire(import.meta.url);',
	'const __filename = bundleFilePath(import.meta.url);',
	'const __dirname = bundleDirname(__filename);',
].join('');

await Promise.all(names.map(async name => {
	const outfile = `build/binaries/${name}.mjs`;
	await build({
		entryPoints: [`build/source/binaries/${name}.js`],
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		minifySyntax: true,
		minifyWhitespace: true,
		keepNames: true,
		banner: {js: banner},
		logLevel: 'error',
		outfile,
	});
	chmodSync(outfile, 0o755);
}));
