/**
An attempt that a gateway on a virtual clock has started.
*/
import type {AttemptMessage} from '../../source/generated/messages.js';

/** `startedAt` is on the fleet's clock, in milliseconds. */
export type SentAttempt = {
	readonly requestId: string;
	readonly target: number;
	readonly message: AttemptMessage;
	readonly startedAt: number;
	/** Incarnation of the sidecar that the frame was handed to. */
	sentTo: number | undefined;
};
