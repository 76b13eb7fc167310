/**
Accounts for every request of a run.
*/
import type {CallOutcome} from './call-outcome.js';

type Account = {
	readonly sent: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly ran: number;
	readonly connectionLost: number;
	readonly wrongAnswers: number;
	/** Executions by request that no caller may see: more than one, or one behind "not run". */
	readonly falseOutcomes: readonly string[];
	readonly isSound: boolean;
};

const count = (outcomes: readonly CallOutcome[], ending: CallOutcome['ending']): number => outcomes.filter(outcome => outcome.ending === ending).length;

/**
Compares what callers were told with what plain services executed.

@example
```
account(traffic.sent, outcomes, executions).isSound;
```
*/
export const account = (sent: number, outcomes: readonly CallOutcome[], executions: ReadonlyMap<string, number>): Account => {
	const plain = outcomes.filter(({label, requestId}) => (label === 'bid' || label === 'price') && requestId !== '');
	const falseOutcomes = plain.flatMap(({requestId, ending, label}) => {
		const times = executions.get(requestId) ?? 0;
		const doubled = label === 'bid' && times > 1 ? [`${requestId}: executed ${times} times`] : [];
		const denied = ending === 'not run' && times > 0 ? [`${requestId}: told "not run", executed ${times} times`] : [];
		const lost = ending === 'answered' && times === 0 ? [`${requestId}: answered, never executed`] : [];
		return [...doubled, ...denied, ...lost];
	});
	const wrongAnswers = outcomes.filter(({isRight}) => !isRight).length;
	const connectionLost = count(outcomes, 'connection lost');
	return {
		sent,
		answered: count(outcomes, 'answered'),
		notRun: count(outcomes, 'not run'),
		unknown: count(outcomes, 'unknown'),
		ran: count(outcomes, 'ran'),
		connectionLost,
		wrongAnswers,
		falseOutcomes,
		isSound: outcomes.length === sent && wrongAnswers === 0 && falseOutcomes.length === 0,
	};
};

