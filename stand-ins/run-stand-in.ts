/**
Runs one stand-in as a process: `node run-stand-in.js KIND OPTIONS-AS-JSON`.
*/
import process from 'node:process';
import {EngineStandIn} from './engine-stand-in.js';
import {KeyValueStandIn} from './key-value-stand-in.js';
import {PlainStandIn} from './plain-stand-in.js';
import {VmListStandIn} from './vm-list-stand-in.js';
import {WireStandIn} from './wire-stand-in.js';

const [kind = '', optionsJson = '{}'] = process.argv.slice(2);
const options = JSON.parse(optionsJson) as unknown;

const create = () => {
	switch (kind) {
		case 'engine': {
			return new EngineStandIn(options as ConstructorParameters<typeof EngineStandIn>[0]);
		}

		case 'plain': {
			return new PlainStandIn(options as ConstructorParameters<typeof PlainStandIn>[0]);
		}

		case 'key-value': {
			return new KeyValueStandIn(options as ConstructorParameters<typeof KeyValueStandIn>[0]);
		}

		case 'vm-list': {
			return new VmListStandIn(options as ConstructorParameters<typeof VmListStandIn>[0]);
		}

		case 'wire': {
			return new WireStandIn(options as ConstructorParameters<typeof WireStandIn>[0]);
		}

		default: {
			throw new Error(`unknown stand-in "${kind}": expected engine, plain, key-value, vm-list or wire`);
		}
	}
};

await create().start();
console.log('ready');
