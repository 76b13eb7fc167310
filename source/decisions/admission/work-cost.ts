/**
Estimates what a piece of work takes from its target.
*/
import type {TargetCapacity} from './target-capacity.js';
import type {Work} from './work.js';

const millisecondsPerSecond = 1000;

type WorkCost = {
	/** Share of the target's whole capacity that the work uses, in milliseconds. */
	readonly occupancyMilliseconds: number;
	/** Time from start to end that does not depend on what runs beside it. */
	readonly fixedMilliseconds: number;
	/** Time from start to end that does, with a full batch beside it. */
	readonly batchMilliseconds: number;
	readonly pieces: number;
};

/**
Returns the cost of `work` at a target.

@example
```
workCost(work, capacity).pieces; // 3 for a dossier of 5,500 tokens
```
*/
export const workCost = ({promptTokens, outputTokens}: Pick<Work, 'promptTokens' | 'outputTokens'>, capacity: TargetCapacity): WorkCost => {
	switch (capacity.kind) {
		case 'engine': {
			const prefillMilliseconds = promptTokens * millisecondsPerSecond / capacity.prefillTokensPerSecond;
			return {
				occupancyMilliseconds: prefillMilliseconds + (outputTokens * millisecondsPerSecond / capacity.decodeTokensPerSecond),
				fixedMilliseconds: prefillMilliseconds,
				batchMilliseconds: outputTokens * capacity.tokenMilliseconds,
				pieces: Math.max(1, Math.ceil((promptTokens + outputTokens) / capacity.tokensPerPiece)),
			};
		}

		case 'plain': {
			return {
				occupancyMilliseconds: capacity.callMilliseconds / capacity.mostRunning,
				fixedMilliseconds: capacity.callMilliseconds,
				batchMilliseconds: 0,
				pieces: 0,
			};
		}
	}
};
