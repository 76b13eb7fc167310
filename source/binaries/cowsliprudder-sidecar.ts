#!/usr/bin/env node
/**
Entry point of the sidecar process.
*/
import {validateSidecarSettings} from '../generated/validators.js';
import {Sidecar} from '../sidecar/sidecar.js';
import {runProcess} from '../shared/run-process.js';

await runProcess({
	name: 'cowsliprudder-sidecar',
	validate: validateSidecarSettings,
	create: (settings: ConstructorParameters<typeof Sidecar>[0]) => new Sidecar(settings),
});
