/**
Port to the target beside a sidecar.
*/
import type {Result} from 'neverthrow';
import type {AttemptMessage, EngineRole, Order} from '../generated/messages.js';
import type {TargetCapacity} from '../decisions/admission/target-capacity.js';
import type {TargetResult} from './target-result.js';

type TargetState = {
	readonly capacity: TargetCapacity;
	readonly role: EngineRole;
	/** True while the target carries out an order. */
	readonly isChanging: boolean;
	readonly model: string;
	readonly version: string;
};

/**
What a sidecar asks of its target. No call throws.
*/
export type Target = {
	/** Runs one attempt; `onText` gets each part of the output, then the promise settles. */
	run(message: AttemptMessage, onText: (text: string) => void, signal: AbortSignal): Promise<TargetResult>;

	/** Reads the target's true state. */
	state(): Promise<Result<TargetState, string>>;

	/** Gives an order; resolves when the change has been made, with a result code otherwise. */
	order(order: Order, fencingNumber: number, sequence: number): Promise<Result<void, {readonly code: number; readonly detail: string}>>;

	close(): Promise<void>;
};
