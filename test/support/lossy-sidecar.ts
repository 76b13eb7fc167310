/**
A sidecar on a virtual clock, and the gateway's link to it.
*/
import type {AttemptTable} from '../../source/decisions/attempts/attempt-table.js';
import type {TargetRuns} from './target-runs.js';

/** Times are on the fleet's clock, in milliseconds. */
export type LossySidecar = {
	table: AttemptTable;
	incarnation: number;
	/** The link in use; a silent one swallows everything. */
	link: {readonly id: string; silent: boolean; open: boolean} | undefined;
	unreachableUntil: number;
	lastHeardAt: number;
	running: TargetRuns;
};
