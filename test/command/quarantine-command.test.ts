/**
The operators' view of parts in quarantine, from the gateway to the command line.
*/
import {PassThrough} from 'node:stream';
import {text} from 'node:stream/consumers';
import {Cli} from 'clipanion';
import {test} from 'tap';
import {QuarantineCommand} from '../../source/command/quarantine-command.js';
import {startStatusServer} from '../../source/entry/status-server.js';

type Held = {readonly parts: readonly string[]; readonly crashes: number; readonly lastCrashAge: number; readonly trialDueIn: number};

const held: Held = {
	parts: ['bad', 'caller'], crashes: 4, lastCrashAge: 12_000, trialDueIn: 288_000,
};

const run = async (...words: readonly string[]): Promise<{readonly code: number; readonly printed: string; readonly errors: string}> => {
	const [stdout, stderr] = [new PassThrough(), new PassThrough()];
	const cli = Cli.from([QuarantineCommand]);
	const code = await cli.run(['quarantine', ...words], {stdout, stderr});
	stdout.end();
	stderr.end();
	return {code, printed: await text(stdout), errors: await text(stderr)};
};

test('an operator sees what is held back, lifts a part, and is told when it is not held', async t => {
	let quarantined = [held];
	const server = await startStatusServer({host: '127.0.0.1', port: 0}, {
		'GET /quarantine': () => ({status: 200, text: JSON.stringify({quarantined})}),
		'POST /quarantine/lift'(parameters) {
			if (parameters.get('part') !== 'bad') {
				return {status: 404, text: JSON.stringify({error: {code: 0, errors: ['this part is not in quarantine']}})};
			}

			quarantined = [];
			return {status: 200, text: JSON.stringify({quarantined})};
		},
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = `http://127.0.0.1:${(server.address() as {readonly port: number}).port}`;
	t.match(await run(address), {code: 0, printed: 'bad with caller: 4 crashes, the last 12 s ago, tried again in 288 s\n'});
	t.match(await run('--lift', 'other', address), {code: 1, errors: /not in quarantine/});
	t.match(await run('--lift', 'bad', address), {code: 0, printed: 'nothing is held back\n'});
	t.match(await run('--json', address), {code: 0, printed: /"quarantined": \[]/});
});
