/**
`cowsliprudder quarantine`: lists the prompt parts that gateways hold back, and lifts one.
*/
import {Command, Option} from 'clipanion';
import type {PromptQuarantine} from '../entry/prompt-quarantine.js';
import {OperatorCommand} from './operator-command.js';
import {readJson} from './read-json.js';

type Status = {readonly quarantined: ReturnType<PromptQuarantine['list']>};

const describe = ({parts, crashes, lastCrashAge, trialDueIn}: Status['quarantined'][number]): string => `${parts.join(' with ')}: ${crashes} crashes, the last ${Math.round(lastCrashAge / 1000)} s ago, tried again in ${Math.round(trialDueIn / 1000)} s`;

/**
Asks the metrics addresses of entry gateways. A part that is lifted at one gateway is lifted at all.
*/
export class QuarantineCommand extends OperatorCommand {
	static override paths = [['quarantine']];
	static override usage = Command.Usage({
		description: 'List the prompt parts that are held back because engines crash on them, and lift one.',
		examples: [['One gateway', 'cowsliprudder quarantine http://10.1.0.35:9464'], ['Lift a part', 'cowsliprudder quarantine --lift 48720f3588ea http://10.1.0.35:9464']],
	});

	lift = Option.String('--lift', {description: 'Part that prompts may have again.'});
	address = Option.String();

	async execute(): Promise<number> {
		const answer = this.lift === undefined
			? await readJson<Status>(this.address, 'GET', '/quarantine')
			: await readJson<Status>(this.address, 'POST', `/quarantine/lift?part=${encodeURIComponent(this.lift)}`);
		return answer.match(status => {
			this.print(status, status.quarantined.length === 0 ? ['nothing is held back'] : status.quarantined.map(held => describe(held)));
			return 0;
		}, failure => this.fail(failure));
	}
}
