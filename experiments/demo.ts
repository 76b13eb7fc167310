/**
The demo: both deployments' shape, scaled to one machine, as real processes.

It sends mixed traffic for about 15 s, applies one configuration live, drains one
sidecar, and accounts for every request. It exits with 0 only if every request is
accounted for and every answer was whole and the caller's own.
*/
import process from 'node:process';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {request} from 'undici';
import type {GatewayStatus} from '../source/gateway/gateway-status.js';
import {pause} from '../source/shared/pause.js';
import {account} from './account.js';
import {Fleet} from './fleet.js';
import {percentile} from './percentile.js';
import {Traffic} from './traffic.js';

type Deployment = {
	readonly name: string;
	readonly basePort: number;
	readonly zones: readonly string[];
	readonly modelService: string;
	readonly engines: number;
	readonly plainService: string;
	readonly plain: number;
	readonly goodputWeight: number;
};

const runMilliseconds = 15_000;
const mebibyte = 1_048_576;
const seed = 20_261_204;

const deployments: readonly Deployment[] = [
	{
		name: 'Corcoran Valley Timber Exchange',
		basePort: 22_000,
		zones: ['munster-a', 'munster-b', 'munster-c', 'munster-d'],
		modelService: 'appraiser-models',
		engines: 4,
		plainService: 'auction-floor',
		plain: 2,
		goodputWeight: 0.3,
	},
	{
		name: 'Roshan Qarz Salah Cooperative',
		basePort: 22_200,
		zones: ['lhr-a', 'lhr-b', 'lhr-c'],
		modelService: 'advice-llm',
		engines: 4,
		plainService: 'appointments-app',
		plain: 2,
		goodputWeight: 0.8,
	},
];

const documentOf = ({modelService, plainService, goodputWeight}: Deployment, version: string): string => `
[[models]]
name = "standard"
version = "${version}"

[[services]]
name = "${modelService}"
kind = "model"
model = "standard"
retryShare = 0.2

[[services.classes]]
name = "dossier"
importance = "high"
deadlineMilliseconds = 60000
minimumPromptTokens = 1000

[[services.classes]]
name = "question"
importance = "low"
deadlineMilliseconds = 5000
minimumPromptTokens = 0

[services.roles]
goodputWeight = ${goodputWeight}
changeMilliseconds = 1000
minimumPrefill = 1
minimumDecode = 1

[[services]]
name = "${plainService}"
kind = "plain"

[[services.classes]]
name = "default"
importance = "normal"
deadlineMilliseconds = 10000
`;

const zonesOf = (zones: readonly string[], count: number): readonly string[] => Array.from({length: count}, (_, index) => zones[index % zones.length] ?? '');

const createFleet = (deployment: Deployment): Fleet => new Fleet({
	basePort: deployment.basePort,
	gatewayZones: zonesOf(deployment.zones, 2),
	services: [
		{
			name: deployment.modelService, kind: 'engine', zones: zonesOf(deployment.zones, deployment.engines), options: {changeMilliseconds: 1000},
		},
		{name: deployment.plainService, kind: 'plain', zones: zonesOf(deployment.zones, deployment.plain)},
	],
	document: documentOf(deployment, '1'),
});

const statusOf = async (fleet: Fleet, gateway: string): Promise<GatewayStatus> => {
	const {body} = await request(`${fleet.operators(gateway)}/status`);
	return await body.json() as GatewayStatus;
};

const runDeployment = async (deployment: Deployment): Promise<boolean> => {
	const fleet = createFleet(deployment);
	const generator = xoroshiro128plus(seed);
	try {
		await fleet.start();
		const callsBefore = await fleet.storeCalls();
		const traffic = new Traffic({
			gateways: fleet.gateways.map(({name}) => fleet.callers(name)),
			model: 'standard',
			plainService: deployment.plainService,
			rates: {
				dossier: 4, question: 25, bid: 15, price: 30,
			},
			organisations: 50,
			random: () => uniformFloat64(generator),
		});
		const running = traffic.run(runMilliseconds);
		const progress = setInterval(() => {
			if (!process.stderr.isTTY) {
				return;
			}

			process.stderr.write(`\r${deployment.name}: ${traffic.sent} sent, ${traffic.outcomes.length} ended   `);
		}, 250);
		await pause(runMilliseconds / 3);
		const applied = await fleet.submit(documentOf(deployment, '2'), 1);
		await pause(runMilliseconds / 6);
		const drained = `${deployment.modelService}-2`;
		await fleet.setVmState(drained, 'leaving');
		fleet.processes.get(`${drained}-sidecar`)?.signal('SIGTERM');
		await running;
		const outcomes = await traffic.finished();
		clearInterval(progress);
		process.stderr.write('\n');
		const statuses = await Promise.all(fleet.gateways.map(async ({name}) => statusOf(fleet, name)));
		const result = account(traffic.sent, outcomes, fleet.executions);
		const model = outcomes.filter(({label, ending}) => (label === 'dossier' || label === 'question') && ending === 'answered');
		const gaps = model.flatMap(({tokenGapsMilliseconds}) => tokenGapsMilliseconds);
		const first = model.map(({firstTokenMilliseconds}) => firstTokenMilliseconds);
		const orders = statuses.flatMap(({leading}) => leading.map(({orders: given}) => given));
		const drainExit = await fleet.processes.get(`${drained}-sidecar`)?.exited;
		const rows: ReadonlyArray<readonly [string, string | number]> = [
			['sent', result.sent],
			['answered once and whole', result.answered],
			['refused, not run', result.notRun],
			['told that it ran', result.ran],
			['told unknown', result.unknown],
			['connection lost', result.connectionLost],
			['wrong or crossed answers', result.wrongAnswers],
			['false outcomes', result.falseOutcomes.length],
			['first token ms, 50 and 95 in 100', `${percentile(first, 50)} / ${percentile(first, 95)}`],
			['between tokens ms, 50 and 95 in 100', `${percentile(gaps, 50)} / ${percentile(gaps, 95)}`],
			['configuration applied live', applied.match(({generation}) => `generation ${generation}`, ({errors}) => errors.join('; '))],
			['in force at the gateways', statuses.map(({generation}) => generation).join(', ')],
			['drained sidecar exit code', drainExit ?? 'killed'],
			['orders carried out', JSON.stringify(orders)],
			['store calls', await fleet.storeCalls() - callsBefore],
			['gateway memory MiB', fleet.gateways.map(({name}) => Math.round((fleet.processes.get(name)?.residentBytes ?? 0) / mebibyte)).join(', ')],
		];
		console.log(`\n${deployment.name}`);
		for (const [label, value] of rows) {
			console.log(`  ${label.padEnd(38)}${value}`);
		}

		for (const line of result.falseOutcomes) {
			console.log(`  ${line}`);
		}

		return result.isSound && result.connectionLost === 0 && drainExit === 0;
	} finally {
		await fleet.stop();
	}
};

let isSound = true;
for (const deployment of deployments) {
	isSound = await runDeployment(deployment) && isSound; // eslint-disable-line no-await-in-loop
}

console.log(isSound ? '\nevery request is accounted for' : '\nNOT every request is accounted for');
process.exit(isSound ? 0 : 1); // eslint-disable-line unicorn/no-process-exit
