/**
Interface to the target on the same VM as a sidecar.
*/
import type {Result} from 'neverthrow';
import type {AttemptMessage, EngineRole, Order} from '../generated/messages.js';
import type {TargetCapacity} from '../decisions/admission/target-capacity.js';
import type {TargetResult} from './target-result.js';

type TargetState = {
	readonly capacity: TargetCapacity;
	readonly role: EngineRole;
	/** True while the target executes an order. */
	readonly isChanging: boolean;
	readonly model: string;
	readonly version: string;
};

/**
Calls that a sidecar makes to its target. No call throws.
*/
export type Target = {
	/** Runs one attempt. Calls `onText` with each piece of output; the promise resolves after the last one. */
	run(message: AttemptMessage, onText: (text: string) => void, signal: AbortSignal): Promise<TargetResult>;

	/** Reads the current state from the target itself. */
	state(): Promise<Result<TargetState, string>>;

	/** Sends an order. Resolves when the target has executed it, or with a result code if it failed. */
	order(order: Order, fencingNumber: number, sequence: number): Promise<Result<void, {readonly code: number; readonly detail: string}>>;

	close(): Promise<void>;
};
