/**
One step of a case on a lossy fleet.
*/
import type {Importance} from '../../source/generated/messages.js';

/** Targets are numbered from 0. */
export type LossyStep =
	| {readonly kind: 'request'; readonly repeatable: boolean; readonly tokens: number; readonly importance: Importance}
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'silence' | 'cut' | 'restart sidecar' | 'kill target' | 'leave'; readonly target: number}
	| {readonly kind: 'unreachable'; readonly target: number; readonly milliseconds: number};
