/**
Interface to the platform's store, with the calls that an entry gateway makes.
*/
import type {Option} from 'fp-ts/lib/Option.js';
import type {Result} from 'neverthrow';
import type {FleetConfiguration} from '../fleet/fleet-configuration.js';
import type {TargetList} from '../fleet/target-list.js';
import type {StoreError} from './store-error.js';

/**
Reads configurations and targets, and keeps one report of crashes. Every call has a timeout and never throws.
*/
export type FleetStore = {
	/** Returns the newest configuration, or none if none has been written yet, and the store's era (see `StorePosition`). */
	readConfiguration(): Promise<Result<{readonly configuration: Option<FleetConfiguration>; readonly era: number}, StoreError>>;
	/** Returns all targets. Entries that cannot be decoded are left out; `unreadable` is their number. */
	listTargets(): Promise<Result<{readonly list: TargetList; readonly unreadable: number}, StoreError>>;
	/** Returns the report as it was last written, or none if there is none. */
	readCrashReport(): Promise<Result<Option<string>, StoreError>>;
	writeCrashReport(text: string): Promise<Result<void, StoreError>>;
	close(): Promise<void>;
};
