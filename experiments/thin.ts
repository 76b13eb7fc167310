/**
Smallest check of the whole path as separate processes.
*/
import process from 'node:process';
import {makeCall} from './call.js';
import {Fleet} from './fleet.js';

const document = `
[[models]]
name = "appraiser"
version = "1"

[[services]]
name = "appraiser-models"
kind = "model"
model = "appraiser"

[[services]]
name = "auction-floor"
kind = "plain"
`;

const fleet = new Fleet({
	basePort: 21_000,
	gatewayZones: ['munster-a'],
	services: [
		{name: 'appraiser-models', kind: 'engine', zones: ['munster-a', 'munster-b']},
		{name: 'auction-floor', kind: 'plain', zones: ['munster-a']},
	],
	document,
});
try {
	await fleet.start();
	const gateway = fleet.callers('gateway-1');
	console.log(await makeCall(gateway, {
		kind: 'model', label: 'leaf', prompt: 'Is this leaf of ash sound?', outputTokens: 5, model: 'appraiser', organisation: 'joiners',
	}));
	console.log(await makeCall(gateway, {
		kind: 'plain', label: 'bid', service: 'auction-floor', method: 'POST', path: '/bids', body: '{"lot":7}', idempotencyKey: 'bid-1',
	}));
	console.log(await makeCall(gateway, {
		kind: 'plain', label: 'bid again', service: 'auction-floor', method: 'POST', path: '/bids', body: '{"lot":7}', idempotencyKey: 'bid-1',
	}));
	for (const child of fleet.processes.values()) {
		console.log(child.name, Math.round(child.residentBytes / 1_048_576), 'MiB');
	}

	for (const name of ['gateway-1', 'appraiser-models-1-sidecar']) {
		fleet.processes.get(name)?.signal('SIGTERM');
		console.log(name, 'exit', await fleet.processes.get(name)?.exited); // eslint-disable-line no-await-in-loop
	}
} finally {
	await fleet.stop();
}

process.exit(0); // eslint-disable-line unicorn/no-process-exit
