/**
Builds the inputs of the role planner from a service's configuration.
*/
import type {EngineThroughput} from '../decisions/planning/engine-throughput.js';
import type {RolePlanning} from '../generated/configuration.js';

const defaultChangeMilliseconds = 3000;

/** Throughput of an engine that batches 32, 48 or 64 streams and prefills in chunks of 2048, 512 or 128 tokens, in the roles prefill, mixed and decode. */
const defaultSpeed: EngineThroughput = {
	prefill: {prefill: 18_500, decode: 2000},
	mixed: {prefill: 15_200, decode: 2400},
	decode: {prefill: 8900, decode: 2667},
};

/**
Returns the throughput and the policy, with defaults for the settings that the configuration omits.

@example
```
rolePolicy({goodputWeight: 0.8}).policy.mostInChange; // 1
```
*/
export const rolePolicy = ({goodputWeight, minimumPrefill = 0, minimumDecode = 0, changeMilliseconds = defaultChangeMilliseconds, mostInChange = 1, speed = defaultSpeed}: RolePlanning) => ({
	speed,
	policy: {
		goodputWeight, minimumPrefill, minimumDecode, changeMilliseconds, mostInChange,
	},
});
