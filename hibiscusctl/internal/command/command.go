// Package command implements the command line of operators. Its commands validate,
// compare and apply declarations, take parts of the fleet out of service and back,
// show the state of hosts and explain requests from logs.
package command

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/hibiscusctl/internal/explain"
)

// Exit statuses.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2 // the declaration or the command line is wrong
	exitPending  = 3 // the change is committed, but not yet in force at all hosts
	exitConflict = 4 // another change was committed after the declaration was read
	exitNotFound = 5 // no log line contains the request
)

// A run is one invocation of the program, with its flags and arguments.
type run struct {
	out, errOut io.Writer
	hosts       string
	key         string
	author      string
	reason      string
	until       string
	wait        time.Duration
	files       string
	kind        string
	name        string // of a subject, the ID of a request, or a caller key
}

// Run executes the command given by the arguments and returns the exit status.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	r := &run{out: out, errOut: errOut, wait: 30 * time.Second, author: os.Getenv("USER"), key: os.Getenv("HIBISCUS_OPERATOR_KEY")}
	parser := flaggy.NewParser("hibiscusctl")
	parser.Description = "manages the declaration of a hibiscuslb fleet and shows its state"
	parser.String(&r.hosts, "n", "hosts", "addresses at which hosts serve operators, separated by commas")
	parser.String(&r.key, "k", "key", "operators' key; defaults to the value of HIBISCUS_OPERATOR_KEY")
	parser.String(&r.author, "a", "author", "author of the change; defaults to the value of USER")
	parser.Duration(&r.wait, "w", "wait", "how long to wait for a change to be in force at all hosts")
	commands := r.commands(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, err)
		return exitBadInput
	}
	for _, c := range commands {
		if c.sub.Used {
			return r.exitStatus(c.execute(ctx))
		}
	}
	parser.ShowHelp()
	return exitBadInput
}

type command struct {
	sub     *flaggy.Subcommand
	execute func(context.Context) error
}

func (r *run) commands(parser *flaggy.Parser) []command {
	add := func(name, description string, execute func(context.Context) error) command {
		sub := flaggy.NewSubcommand(name)
		sub.Description = description
		parser.AttachSubcommand(sub, 1)
		return command{sub, execute}
	}
	check := add("check", "validate declaration files without connecting to a fleet", r.check)
	diff := add("diff", "show the changes that apply would make", r.diff)
	apply := add("apply", "replace the fleet's declaration with the files, and wait until it is in force", r.apply)
	drain := add("drain", "take a data centre, host, target or store out of service", r.drain)
	undrain := add("undrain", "take a drained data centre, host, target or store back into service", r.undrain)
	for _, c := range []command{check, diff, apply} {
		c.sub.AddPositionalValue(&r.files, "files", 1, true, "INI files, separated by commas")
	}
	for _, c := range []command{drain, undrain} {
		c.sub.AddPositionalValue(&r.kind, "kind", 1, true, "DataCentre, Host, Target or Store")
		c.sub.AddPositionalValue(&r.name, "name", 2, true, "name of the data centre, host, target or store")
	}
	explanation := add("explain", "show the log lines of a request and of events that may have affected it, from logs of hosts on standard input", r.explain)
	explanation.sub.AddPositionalValue(&r.name, "request", 1, true, "ID of the request")
	hash := add("hash", "print the KeyHash of a caller key, for the section of its workspace", r.hash)
	hash.sub.AddPositionalValue(&r.name, "key", 1, true, "the caller key")
	drain.sub.String(&r.reason, "r", "reason", "reason that is stored with the exception")
	drain.sub.String(&r.until, "u", "until", "time when the exception expires, such as 2026-12-31T18:00:00Z")
	return []command{
		check, diff, apply, drain, undrain,
		hash, explanation,
		add("exceptions", "list the exceptions with their reasons", r.exceptions),
		add("status", "show hosts and targets", r.status),
	}
}

// exitStatus prints the error, if it is not nil, and returns its exit status.
func (r *run) exitStatus(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(r.errOut, err)
	var check *declaration.CheckError
	var pending *operator.PendingError
	var status *operator.StatusError
	var notFound *explain.NotFoundError
	switch {
	case errors.As(err, &notFound):
		return exitNotFound
	case errors.As(err, &check):
		return exitBadInput
	case errors.As(err, &pending):
		return exitPending
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return exitConflict
	case errors.As(err, &status) && status.Status == http.StatusUnprocessableEntity:
		return exitBadInput
	default:
		return exitFailed
	}
}

func (r *run) client() *operator.Client {
	client := &operator.Client{Key: r.key}
	for address := range strings.SplitSeq(r.hosts, ",") {
		if address != "" {
			client.Hosts = append(client.Hosts, fleet.Address(address))
		}
	}
	return client
}

func (r *run) explain(context.Context) error { return explain.Explain(r.name, os.Stdin, r.out) }

// readFiles parses the declaration files and merges them into one document.
func (r *run) readFiles() (declaration.Document, error) {
	merged := make(declaration.Document)
	for file := range strings.SplitSeq(r.files, ",") {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		document, err := declaration.Parse(file, text)
		if err != nil {
			return nil, err
		}
		for id, section := range document {
			if _, duplicate := merged[id]; duplicate {
				problem := declaration.Problem{File: file, Section: id, Detail: "duplicate section; another file has it too"}
				return nil, &declaration.CheckError{Problems: []declaration.Problem{problem}}
			}
			merged[id] = section
		}
	}
	return merged, nil
}

func (r *run) check(context.Context) error {
	document, err := r.readFiles()
	if err != nil {
		return err
	}
	if _, err := declaration.Build(document, time.Now()); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "%d sections are valid\n", len(document))
	return nil
}

func (r *run) hash(context.Context) error {
	fmt.Fprintf(r.out, "%x\n", cache.HashCallerKey(r.name))
	return nil
}

// plannedChange is a change with the version of the declaration on which it is
// based.
type plannedChange struct {
	change declaration.Change
	base   fleet.Version
}

// plan returns the change from the current declaration to the files. Exceptions
// that are missing from the files are kept, since drain and undrain create and
// remove them.
func (r *run) plan(ctx context.Context) (plannedChange, error) {
	document, err := r.readFiles()
	if err != nil {
		return plannedChange{}, err
	}
	current, number, err := r.client().Declaration(ctx)
	if err != nil {
		return plannedChange{}, err
	}
	for id, section := range current {
		if _, listed := document[id]; id.Kind == declaration.KindException && !listed {
			document[id] = section
		}
	}
	return plannedChange{declaration.Diff(current, document), number}, nil
}

func (r *run) diff(ctx context.Context) error {
	plan, err := r.plan(ctx)
	if err != nil {
		return err
	}
	fmt.Fprint(r.out, plan.change.String())
	return nil
}

func (r *run) apply(ctx context.Context) error {
	plan, err := r.plan(ctx)
	if err != nil {
		return err
	}
	return r.commit(ctx, plan)
}

// commit stores a change and waits until it is in force at all hosts.
func (r *run) commit(ctx context.Context, plan plannedChange) error {
	if plan.change.Empty() {
		fmt.Fprintf(r.out, "version %d has the same sections; nothing to apply\n", plan.base)
		return nil
	}
	plan.change.ID = declaration.ChangeID(rand.Text())
	plan.change.Author = r.author
	start := time.Now()
	number, err := r.client().Apply(ctx, plan.base, plan.change)
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "version %d is accepted\n", number)
	ctx, cancel := context.WithTimeout(ctx, r.wait)
	defer cancel()
	if err := r.client().AwaitVersion(ctx, number); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "version %d is in force after %v\n", number, time.Since(start).Round(time.Millisecond))
	return nil
}

// subject returns the ID of the section that the exception of drain overrides.
func (r *run) subject() (declaration.SectionID, error) {
	subject := declaration.SectionID{Kind: declaration.Kind(r.kind), Name: r.name}
	switch subject.Kind {
	case declaration.KindDataCentre, declaration.KindHost, declaration.KindTarget, declaration.KindStore:
		return subject, nil
	default:
		return subject, fmt.Errorf("kind of section to drain or undrain: want DataCentre, Host, Target or Store, have %q", r.kind)
	}
}

// drainID returns the ID of the exception that takes a subject out of service.
func drainID(subject declaration.SectionID) declaration.SectionID {
	name := fmt.Sprintf("drain-%s-%s", strings.ToLower(string(subject.Kind)), subject.Name)
	return declaration.SectionID{Kind: declaration.KindException, Name: name}
}

func (r *run) drain(ctx context.Context) error {
	subject, err := r.subject()
	if err != nil {
		return err
	}
	if r.reason == "" {
		return errors.New("flag --reason is missing; drain stores the reason with the exception")
	}
	section := declaration.Section{ID: drainID(subject), Fields: []declaration.Field{
		{Key: "Reason", Text: r.reason},
		{Key: "State", Text: string(declaration.OutOfService)},
		{Key: "Subject", Text: string(subject.Kind) + " " + subject.Name},
	}}
	if r.until != "" {
		section.Fields = append(section.Fields, declaration.Field{Key: "Until", Text: r.until})
	}
	_, number, err := r.client().Declaration(ctx)
	if err != nil {
		return err
	}
	return r.commit(ctx, plannedChange{declaration.Change{Put: []declaration.Section{section}}, number})
}

func (r *run) undrain(ctx context.Context) error {
	subject, err := r.subject()
	if err != nil {
		return err
	}
	current, number, err := r.client().Declaration(ctx)
	if err != nil {
		return err
	}
	if _, ok := current[drainID(subject)]; !ok {
		return fmt.Errorf("%s is not drained: the declaration has no section %s", subject, drainID(subject))
	}
	return r.commit(ctx, plannedChange{declaration.Change{Drop: []declaration.SectionID{drainID(subject)}}, number})
}
