/**
The fields of the log line that says where a prompt was placed, and why.
*/
import type {PromptPlacement} from '../decisions/entry/prompts/prompt-placement.js';
import type {TargetRecord} from '../fleet/target-record.js';

type Placed = {
	readonly placement: PromptPlacement;
	readonly lane: 'onTime' | 'late';
	readonly target: TargetRecord;
	readonly fetchFrom: TargetRecord | undefined;
	readonly grant: string;
	readonly denials: number;
};

/**
Times are in milliseconds: `readMilliseconds` and `waitingMilliseconds` of an engine of speed 1,
`latency` and `cost` of the engine itself, whose learned speed is `speed`.

@example
```
log.add('placed', {...placedFacts(verdict), ...targetListStatus(context)}, now);
```
*/
export const placedFacts = ({placement, lane, target, fetchFrom, grant, denials}: Placed): Readonly<Record<string, unknown>> => ({
	target: target.id,
	way: placement.way,
	lane,
	readMilliseconds: Math.round(placement.readMilliseconds),
	cost: Math.round(placement.cost),
	latency: Math.round(placement.latency),
	fetchFrom: fetchFrom?.id,
	keptTokens: placement.cachedTokens,
	waitingMilliseconds: Math.round(placement.engine.readMilliseconds),
	speed: Math.round((placement.engine.speed ?? 1) * 100) / 100,
	grant,
	denials,
	attempts: placement.engine.attempts,
});
