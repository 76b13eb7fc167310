/**
Logging is enabled by default, although Roarr writes nothing unless `ROARR_LOG` is set.
*/
import {test} from 'tap';
import {logger} from '../../source/shared/logger.js';
import {setLogOutput} from '../../source/shared/set-log-output.js';

test('a process logs without an environment variable', async t => {
	const lines: string[] = [];
	setLogOutput(line => {
		lines.push(line);
	});
	logger.child({process: 'gateway-1'}).info({request: '9c41'}, 'request ended');
	t.equal(lines.length, 1);
	t.match(JSON.parse(lines[0]!), {context: {process: 'gateway-1', request: '9c41'}, message: 'request ended'});
});
