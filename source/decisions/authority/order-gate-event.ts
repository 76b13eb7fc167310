/**
Inputs of the order gate of a sidecar.
*/
import type {OrderMessage} from '../../generated/messages.js';

/**
Events of the order gate. `link` names the connection over which an event was
received. Times are on the sidecar's monotonic clock.
*/
export type OrderGateEvent =
	| {readonly kind: 'raise fence'; readonly link: string; readonly fencingNumber: number}
	| {readonly kind: 'order'; readonly link: string; readonly message: OrderMessage}
	| {
		readonly kind: 'authority read';
		readonly fencingNumber: number;
		/** Taken before the store was called, so never later than the store's own read. */
		readonly readStartedAt: number;
		/** Remaining duration of the lease according to the store; 0 when another gateway holds it or the store did not answer. */
		readonly remainingMilliseconds: number;
	}
	| {readonly kind: 'target idle'}
	| {readonly kind: 'order ended'; readonly sequence: number; readonly code: number}
	| {readonly kind: 'engine state'; readonly isChanging: boolean}
	| {readonly kind: 'tick'};
