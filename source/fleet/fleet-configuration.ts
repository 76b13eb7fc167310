/**
The complete configuration of an entry gateway.
*/
import type {Route} from './route.js';
import type {ServiceDescription} from './service-description.js';
import type {Team} from './team.js';

/**
One accepted configuration. A process adopts it only if its version is higher than the one in force.
*/
export type FleetConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceDescription[];
	/** Absent when requests need no key. An empty list admits requests of public routes only. */
	readonly teams?: readonly Team[];
	readonly limits: {
		readonly headerBytes: number;
		readonly bodyBytes: number;
		readonly headerMilliseconds: number;
		readonly idleMilliseconds: number;
	};
};
