/**
`cowsliprudder status`: shows which configuration gateways and sidecars use, and the state of targets.
*/
import {Command, Option} from 'clipanion';
import type {GatewayStatus} from '../gateway/gateway-status.js';
import {OperatorCommand} from './operator-command.js';
import {readJson} from './read-json.js';

const describeGateway = ({name, availabilityZone, ready, generation, liveRequests, openLinks, leading}: GatewayStatus): string => {
	const led = leading.map(({service, fencingNumber}) => `${service} under ${fencingNumber}`).join(', ');
	return `${name} (${availabilityZone}): ${ready ? 'ready' : 'not ready'}, generation ${generation}, ${liveRequests} live requests, ${openLinks} links${led === '' ? '' : `, leads ${led}`}`;
};

const describeTarget = ({name, service, availabilityZone, load, leaving, listedLeaving}: GatewayStatus['targets'][number], generation: number | undefined): string => {
	const loadText = load === undefined ? 'no report yet' : `${load.role}, ${load.running} running, ${load.queued} queued${load.changing ? ', changing' : ''}`;
	return `  ${name} (${service}, ${availabilityZone}): ${leaving || listedLeaving ? 'leaving, ' : ''}${loadText}, generation ${generation ?? 'not heard'}`;
};

/**
Prints the status of each gateway queried, the targets that the first one of them knows,
and the processes that do not use the newest generation yet.
*/
export class StatusCommand extends OperatorCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({
		description: 'Show processes, generations in force, leaders and targets.',
		examples: [['One gateway', 'cowsliprudder status'], ['Several', 'cowsliprudder status http://10.0.0.4:8081 http://10.0.1.4:8081']],
	});

	gateways = Option.Rest();

	async execute(): Promise<number> {
		const addresses = this.gateways.length === 0 ? [this.gateway] : this.gateways;
		const answers = await Promise.all(addresses.map(async address => readJson<GatewayStatus>(address, 'GET', '/status')));
		const statuses = answers.flatMap(answer => answer.match(status => [status], () => []));
		const unreachable = answers.flatMap(answer => answer.match(() => [], ({errors}) => errors));
		if (statuses.length === 0) {
			return this.fail({code: 0, errors: unreachable});
		}

		const sidecars = new Map(statuses.flatMap(({sidecarGenerations}) => Object.entries(sidecarGenerations)));
		const newest = Math.max(...statuses.map(({generation}) => generation), ...sidecars.values());
		const lagging = [
			...statuses.filter(({generation}) => generation < newest).map(({name}) => name),
			...[...sidecars].filter(([, generation]) => generation < newest).map(([name]) => name),
		];
		this.print({
			newest, lagging, unreachable, gateways: statuses,
		}, [
			`newest generation ${newest}${lagging.length === 0 ? ', in force everywhere asked' : `; lagging: ${lagging.join(', ')}`}`,
			...unreachable.map(line => `unreachable: ${line}`),
			...statuses.map(status => describeGateway(status)),
			...(statuses[0]?.targets ?? []).map(target => describeTarget(target, sidecars.get(target.name))),
		]);
		return unreachable.length === 0 ? 0 : 1;
	}
}
