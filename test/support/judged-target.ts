/**
A target of a day in virtual time, with what is true of it.
*/
import type {TargetRecord} from '../../source/fleet/target-record.js';

/**
Times are those of the day.
*/
export type JudgedTarget = {
	readonly record: TargetRecord;
	readonly firstListedAt: number;
	/** When the store acknowledged that it leaves; infinite while it lives. */
	leftAt: number;
	listedSince: number;
	/** False while its entry has lapsed though it lives. */
	isListed: boolean;
};
