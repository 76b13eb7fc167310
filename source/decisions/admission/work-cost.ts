/**
Estimates the time and the engine memory that a piece of work needs at a target.
*/
import type {TargetCapacity} from './target-capacity.js';
import type {Work} from './work.js';

const millisecondsPerSecond = 1000;

type WorkCost = {
	/** Time for which the work would occupy the target's whole capacity. */
	readonly occupancyMilliseconds: number;
	/** Part of the latency that does not depend on the other running work: the prefill, or a whole plain call. */
	readonly fixedMilliseconds: number;
	/** Part of the latency that depends on the batch size, for a full batch: the decode. */
	readonly batchMilliseconds: number;
	readonly pieces: number;
};

/**
Returns the estimated cost of `work` at a target with `capacity`.

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
