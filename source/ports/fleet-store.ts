/**
Port to the platform's store as an entry gateway uses it.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Result} from 'neverthrow';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {TargetList} from '../fleet/target-list.js';
import type {StoreError} from './store-error.js';

/**
Calls of an entry gateway. Every call has a deadline and never throws.
*/
export type FleetStore = {
	/** The newest configuration, none before the first was written. */
	readConfiguration(): Promise<Result<Option<FleetConfiguration>, StoreError>>;
	/** All targets; entries that cannot be read are left out and counted. */
	listTargets(): Promise<Result<{readonly list: TargetList; readonly unreadable: number}, StoreError>>;
	close(): Promise<void>;
};
