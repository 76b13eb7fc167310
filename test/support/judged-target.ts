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
	/** When the store took its word that it leaves; infinity while it has not, or has lost it by coming back from an older copy. */
	acknowledgedAt: number;
	listedSince: number;
	/** False while its entry has lapsed though it lives. */
	isListed: boolean;
};
