/**
Texts shown to operators: differences between documents, configuration and settings
errors, and the forms of the console.
*/
import * as option from 'fp-ts/lib/Option.js';
import {test} from 'tap';
import {diffLines} from '../../source/command/diff-lines.js';
import {parseDocument} from '../../source/configuration/parse-document.js';
import {applyForm} from '../../source/gateway/console/apply-form.js';
import {escapeHtml} from '../../source/gateway/console/escape-html.js';
import {validateGatewaySettings} from '../../source/generated/validators.js';
import {loadSettings} from '../../source/shared/load-settings.js';

const document = `
[[models]]
name = "appraiser"
version = "1"

[[services]]
name = "appraiser-models"
kind = "model"
model = "appraiser"
`;

const versionForm = (version: string) => Object.fromEntries([['basedOn', '3'], ['models.appraiser.version', version]]);

test('differences are listed by path, and a moved entry is not a difference', async t => {
	t.same(diffLines({services: [{name: 'a', retryShare: 0.1}, {name: 'b'}]}, {services: [{name: 'b'}, {name: 'a', retryShare: 0.2}]}), ['services.a.retryShare: 0.1 -> 0.2']);
	t.same(diffLines({a: 1}, {b: 2}), ['a: 1 -> (none)', 'b: (none) -> 2']);
});

test('all errors of a document are reported at once', async t => {
	const errors = parseDocument(`
[[services]]
name = "floor"
kind = "plain"
retryShares = 1

[[services]]
name = "Floor"
kind = "plane"
`)._unsafeUnwrapErr();
	t.ok(errors.some(error => error.includes('services.0') && error.includes('unknown key "retryShares"')));
	t.ok(errors.some(error => error.includes('services.1.kind') && error.includes('"plane"')));
	const duplicated = parseDocument(`${document}\n[[services]]\nname = "appraiser-models"\nkind = "model"\nmodel = "other"\n`)._unsafeUnwrapErr();
	t.ok(duplicated.some(error => error.includes('two services are named "appraiser-models"')));
	t.ok(duplicated.some(error => error.includes('"other" is not under models')));
});

test('settings errors name the file, the key and the expected value', async t => {
	const result = loadSettings('docs/examples/sidecar.toml', validateGatewaySettings as Parameters<typeof loadSettings>[1]);
	const errors = result._unsafeUnwrapErr();
	t.ok(errors.every(error => error.startsWith('docs/examples/sidecar.toml: ')));
	t.ok(errors.some(error => error.includes('unknown key "service"')));
	t.ok(loadSettings('docs/examples/gateway.toml', validateGatewaySettings as Parameters<typeof loadSettings>[1]).isOk());
	t.match(loadSettings('docs/examples/absent.toml', validateGatewaySettings as Parameters<typeof loadSettings>[1])._unsafeUnwrapErr()[0], /absent\.toml/);
});

test('a form changes only the fields that it shows, and a form of an older generation is rejected', async t => {
	const accepted = option.some({
		generation: 3, submissionId: 's', author: 'amna', submittedAt: '', document,
	});
	const changed = applyForm(accepted, versionForm('2'))._unsafeUnwrap();
	t.match(parseDocument(changed)._unsafeUnwrap(), {models: [{name: 'appraiser', version: '2'}], services: [{name: 'appraiser-models'}]});
	t.match(applyForm(accepted, {basedOn: '2'})._unsafeUnwrapErr()[0], /generation 2, but 3 from amna/);
	t.ok(applyForm(accepted, versionForm(' bad version ')).isErr());
});

test('text in HTML pages is escaped', async t => {
	t.equal(escapeHtml('<b title="x">\'&'), '&lt;b title=&quot;x&quot;&gt;&#39;&amp;');
});
