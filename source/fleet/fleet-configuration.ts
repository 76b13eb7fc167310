/**
The whole configuration that an entry gateway obeys.
*/
import type {Route} from './route.js';
import type {ServiceDescription} from './service-description.js';

/**
One accepted configuration. A process adopts only a higher version than its own.
*/
export type FleetConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly ServiceDescription[];
	readonly limits: {
		readonly headerBytes: number;
		readonly bodyBytes: number;
		readonly headerMilliseconds: number;
		readonly idleMilliseconds: number;
	};
};
