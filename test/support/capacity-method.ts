/**
A way in which one gateway learns what the targets of a plain service take well.
*/
import type {AnswerFacts} from '../../source/fleet/answer-facts.js';
import type {CallTarget} from '../../source/decisions/entry/targets/call-target.js';
import type {TargetRecord} from '../../source/fleet/target-record.js';

type Outcome = {readonly milliseconds: number; readonly running: number; readonly load: AnswerFacts['load']};

/**
`figures` are what the gateway adds to its view of a target.
*/
export type CapacityMethod = {
	readonly record: (target: TargetRecord, outcome: Outcome, now: number) => void;
	readonly figures: (target: TargetRecord, now: number) => Pick<CallTarget, 'speed' | 'capacity' | 'slowdown' | 'callMilliseconds'> & {readonly reportedRequests?: number | undefined};
};
