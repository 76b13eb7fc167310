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
	/** What no caller may see: a bid executed twice, one executed behind "not run", an answer without an execution. */
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
	const plain = outcomes.filter(({path}) => path !== '');
	const falseOutcomes = plain.flatMap(({path, ending, label}) => {
		const times = executions.get(path) ?? 0;
		const doubled = label === 'bid' && times > 1 ? [`${path}: executed ${times} times`] : [];
		const denied = ending === 'not run' && times > 0 ? [`${path}: told "not run", executed ${times} times`] : [];
		const lost = ending === 'answered' && times === 0 ? [`${path}: answered, never executed`] : [];
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

