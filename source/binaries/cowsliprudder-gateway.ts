#!/usr/bin/env node
/**
Entry point of the gateway process.
*/
import {validateGatewaySettings} from '../generated/validators.js';
import {Gateway} from '../gateway/gateway.js';
import {runProcess} from '../shared/run-process.js';

await runProcess({
	name: 'cowsliprudder-gateway',
	validate: validateGatewaySettings,
	create: (settings: ConstructorParameters<typeof Gateway>[0]) => new Gateway(settings),
});
