/**
Sums up what crashes say of one prompt part.
*/
import type {CrashRecords} from './crash-records.js';

type CrashRecord = ReturnType<CrashRecords['newestFirst']>[number];

type Suspect = {
	readonly part: string;
	/** The part, and the parts that all lost prompts with it had too, in order of their names. */
	readonly companions: readonly string[];
	/** Incarnations of the engines that crashed with a prompt with the part, the last one first. */
	readonly crashes: readonly string[];
	/** Lost prompts with the part, one of each combination of parts. */
	readonly lostPrompts: ReadonlyArray<ReadonlySet<string>>;
	readonly lastCrashAt: number;
};

/**
Returns the evidence against a part; `records` are the crashes that count, the newest first.

@example
```
suspectOf('91bd3f06', records).companions; // ['5c1e07a2', '91bd3f06']
```
*/
export const suspectOf = (part: string, records: readonly CrashRecord[]): Suspect => {
	const concerned = records.filter(({prompts}) => prompts.some(prompt => prompt.has(part)));
	const lost = concerned.flatMap(({prompts}) => prompts.filter(prompt => prompt.has(part)));
	const [first] = lost;
	return {
		part,
		companions: [...first ?? []].filter(other => lost.every(prompt => prompt.has(other))).toSorted(),
		crashes: concerned.map(({incarnation}) => incarnation),
		lostPrompts: lost,
		lastCrashAt: concerned[0]?.at ?? Number.NEGATIVE_INFINITY,
	};
};
